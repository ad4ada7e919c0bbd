package vrfleet

import (
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrlease"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrwire"
)

// OwnerError says that a zone has no owner.
type OwnerError struct {
	Zone vrid.ZoneID
}

func (e *OwnerError) Error() string { return "zone " + string(e.Zone) + " has no owner" }

// Owner returns the holder of a zone's lease as the platform's object names it.
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
	return "", &OwnerError{Zone: zone}
}
