package vrfleet

import "verbenaroute.example/verbenacore/vrid"

// SharesMachines reports whether a server of the service has stated its pace, which only servers do that share
// their machines with other work.
func (f *Fleet) SharesMachines(service vrid.ServiceID) bool { return f.sharedServices[service] }

// MarkSharesMachines records that a server of the service has stated its pace. It holds for good: a service
// whose servers restart must not be handled as another kind until they answer again.
func (f *Fleet) MarkSharesMachines(service vrid.ServiceID) { f.sharedServices[service] = true }
