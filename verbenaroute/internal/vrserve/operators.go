package vrserve

import (
	"context"

	"verbenaroute.example/verbenacore/vrclient"
	"verbenaroute.example/verbenacore/vrplatform"

	"verbenaroute.example/verbenaroute/internal/vroperator"
)

// platformObjects implements vroperator.ObjectReader with the platform client.
type platformObjects struct{ platform *vrclient.Platform }

// Read implements vroperator.ObjectReader.
func (o platformObjects) Read(ctx context.Context, key string) ([]byte, vrplatform.Outcome) {
	read := o.platform.Read(ctx, key)
	return read.Value, read.Outcome
}

// List implements vroperator.ObjectReader.
func (o platformObjects) List(ctx context.Context, prefix string, values bool) ([]vrplatform.Item, vrplatform.Outcome) {
	list := o.platform.List(ctx, prefix, values)
	return list.Items, list.Outcome
}

// newOperatorAPI builds the operators' interface and registers it as the handler of peers'
// queries.
func (d *Daemon) newOperatorAPI() *vroperator.API {
	api := vroperator.New(vroperator.Options{
		Daemon:  d.settings.Daemon,
		Boot:    d.boot,
		Zone:    d.settings.Zone,
		Tokens:  d.settings.OperatorTokens,
		Objects: platformObjects{d.clients.platform},
		Changes: d.Runtime,
		Live:    vroperator.NewLiveView(vroperator.ReducerAccess{Inspect: d.Runtime.Inspect, State: d.State}),
		Sender:  d.Runtime,
	})
	d.Runtime.OnQuery(api.HandlePeerMessage)
	return api
}
