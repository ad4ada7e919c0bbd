package vrfleet

import (
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrlease"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrwire"
)

// NoOwnerError reports that a zone has no owner.
type NoOwnerError struct {
	Zone vrid.ZoneID
}

func (e *NoOwnerError) Error() string { return "zone " + string(e.Zone) + " has no owner" }

// Owner returns the owner of a zone: the holder named in the zone's lease object, unless the
// lease was released. The lease may have expired.
func (f *Fleet) Owner(zone vrid.ZoneID) (vrid.DaemonID, error) {
	for _, item := range f.World.Platform.Objects(vrplatform.LeaseKey(zone)) {
		if item.Key != vrplatform.LeaseKey(zone) {
			continue
		}
		record, err := vrwire.Unmarshal[vrlease.Record](item.Value)
		if err != nil {
			return "", err
		}
		if !record.Released {
			return record.Holder, nil
		}
	}
	return "", &NoOwnerError{Zone: zone}
}
