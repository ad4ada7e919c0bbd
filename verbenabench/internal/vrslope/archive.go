package vrslope

import (
	"fmt"
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// ArchiveOptions say which past record is made.
type ArchiveOptions struct {
	Zones []vrid.ZoneID
	// Entries is how many requests the record holds, Hours over how many hours before
	// the present one they are spread.
	Entries int
	Hours   int
	Now     time.Time
}

// archiveBlock is the entries of a block: about 2 s of five daemons with 23 requests/s each.
const archiveBlock = 2 * groupSize * 23

// Archive passes on the blocks of a record: in each zone one writer with five daemons,
// in each hour the same number of entries.
func Archive(traffic *Traffic, options ArchiveOptions, put func(vrplatform.Item)) error {
	perHour := options.Entries / (options.Hours * len(options.Zones))
	present := options.Now.Truncate(time.Hour)
	for index, zone := range options.Zones {
		w := &archiver{traffic: traffic, zone: zone, writer: vrid.DaemonID(fmt.Sprintf("past-%d", index)), put: put}
		for hour := options.Hours; hour > 0; hour-- {
			if err := w.hour(present.Add(-time.Duration(hour)*time.Hour), perHour); err != nil {
				return err
			}
		}
	}
	return nil
}

// archiver is one writer's run.
type archiver struct {
	traffic  *Traffic
	zone     vrid.ZoneID
	writer   vrid.DaemonID
	put      func(vrplatform.Item)
	sequence uint64
	previous []byte
	numbers  [groupSize]uint64
}

const archiveBoot vrid.BootID = "01J00000000000000000000000"

func (w *archiver) hour(begin time.Time, entries int) error {
	spacing := time.Hour / time.Duration(entries+1)
	for first := 0; first < entries; first += archiveBlock {
		count := min(archiveBlock, entries-first)
		if err := w.block(begin.Add(time.Duration(first)*spacing), spacing, count); err != nil {
			return err
		}
	}
	return nil
}

func (w *archiver) block(begin time.Time, spacing time.Duration, count int) error {
	w.sequence++
	block := &vrrecord.Block{
		Zone: w.zone, Writer: w.writer, Boot: archiveBoot, Sequence: w.sequence, Previous: w.previous,
		From: begin.UnixMilli(), Until: begin.Add(time.Duration(count-1) * spacing).UnixMilli(),
	}
	before := w.numbers
	for i := range count {
		data, err := w.entry(i%groupSize, begin.Add(time.Duration(i)*spacing))
		if err != nil {
			return err
		}
		block.Entries = append(block.Entries, data)
	}
	for daemon, last := range w.numbers {
		if last > before[daemon] {
			block.Coverage = append(block.Coverage, vrrecord.Coverage{
				Daemon: w.daemon(daemon), Boot: archiveBoot, First: before[daemon] + 1, Last: last, Opened: last,
			})
		}
	}
	value, err := vrrecord.EncodeBlock(block)
	if err != nil {
		return err
	}
	w.previous = vrrecord.Hash(value)
	w.put(vrplatform.Item{Key: block.Key(), Value: value})
	return nil
}

func (w *archiver) daemon(index int) vrid.DaemonID {
	return vrid.DaemonID(fmt.Sprintf("%s-%d", w.writer, index))
}

func (w *archiver) entry(daemon int, at time.Time) ([]byte, error) {
	w.numbers[daemon]++
	entry := w.traffic.Entry(at)
	entry.Zone, entry.Daemon, entry.Boot, entry.Number = w.zone, w.daemon(daemon), archiveBoot, w.numbers[daemon]
	return vrwire.Marshal(&entry)
}
