// Package vroperator implements the HTTP API for operators: queries over the record and
// the live state, commands that change the configuration, and access to the raw record
// for audits. Any daemon answers for the whole fleet.
package vroperator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrquery"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrsettings"
	"verbenaroute.example/verbenacore/vrwire"
)

// ObjectReader reads objects from the platform.
type ObjectReader interface {
	Read(ctx context.Context, key string) (value []byte, outcome vrplatform.Outcome)
	// List returns the objects whose keys have a prefix. Their values are set only if values
	// is true.
	List(ctx context.Context, prefix string, values bool) (items []vrplatform.Item, outcome vrplatform.Outcome)
}

// ChangeSubmitter accepts operators' changes of the configuration and the reducer's state.
type ChangeSubmitter interface {
	// Propose submits a change of the configuration and waits for the decision, at most
	// until ctx ends.
	Propose(ctx context.Context, event vrevent.ConfigProposed) vrevent.ConfigDecided
	// Submit passes an event to the reducer.
	Submit(event vrevent.Event)
}

// Peer identifies a daemon that can answer queries.
type Peer struct {
	Daemon  vrid.DaemonID
	Address string
	Zone    vrid.ZoneID
	// Owner reports whether the daemon owns its zone.
	Owner bool
}

// LiveView gives access to the current state of this daemon.
type LiveView interface {
	// Configuration returns the configuration in force on this daemon, nil before the
	// first.
	Configuration() *vrconfig.Index
	// State returns the state of all zones, as far as this daemon knows it.
	State() *vrquery.State
	// Unwritten returns a copy of the record entries that are not yet in a block.
	Unwritten() []vrrecord.Entry
	// Peers returns the members of this daemon's zone, possibly with the daemon itself, and
	// the owners of the other zones.
	Peers() []Peer
}

// Sender sends messages to other daemons. SendPeer doesn't block.
type Sender interface {
	SendPeer(peer vrid.DaemonID, address string, envelope *vrwire.Envelope)
}

// Options holds the options of New. Zero limits mean the defaults in parentheses.
type Options struct {
	Daemon vrid.DaemonID
	Boot   vrid.BootID
	Zone   vrid.ZoneID
	Tokens []vrsettings.OperatorToken

	Objects ObjectReader
	Changes ChangeSubmitter
	Live    LiveView
	Sender  Sender
	// Now returns the current time; nil means time.Now.
	Now func() time.Time

	// QueryTimeout limits a query (30s), PeerTimeout the wait for other daemons (1s),
	// CommandTimeout the wait for a decision (10s), InForceTimeout the wait until a change
	// is in force in every zone (15s).
	QueryTimeout   time.Duration
	PeerTimeout    time.Duration
	CommandTimeout time.Duration
	InForceTimeout time.Duration
	// MaxQueries is the maximum number of concurrent queries (2).
	MaxQueries int
	// PlatformCallsPerSecond is the rate limit of the platform calls made for operators
	// (20). The daemon's own calls, such as the renewal of a lease, share the daemon's rate
	// limit and must not wait for them.
	PlatformCallsPerSecond int
}

const (
	defaultQueryTimeout   = 30 * time.Second
	defaultPeerTimeout    = time.Second
	defaultCommandTimeout = 10 * time.Second
	// defaultInForceTimeout is about twice the 7 s in which a change is in force everywhere.
	defaultInForceTimeout = 15 * time.Second
	defaultMaxQueries     = 2
	// maxZoneQueries is the maximum number of concurrent queries from other zones.
	maxZoneQueries = 8
	// defaultPlatformCallsPerSecond is less than half of a daemon's limit of 50 calls per
	// second.
	defaultPlatformCallsPerSecond = 20
)

func (o Options) withDefaults() Options {
	setDefault := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	setDefault(&o.QueryTimeout, defaultQueryTimeout)
	setDefault(&o.PeerTimeout, defaultPeerTimeout)
	setDefault(&o.CommandTimeout, defaultCommandTimeout)
	setDefault(&o.InForceTimeout, defaultInForceTimeout)
	if o.MaxQueries == 0 {
		o.MaxQueries = defaultMaxQueries
	}
	if o.PlatformCallsPerSecond == 0 {
		o.PlatformCallsPerSecond = defaultPlatformCallsPerSecond
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// API serves the HTTP API for operators and answers the queries of other daemons.
type API struct {
	options Options
	// inFlightQueries is a semaphore that limits the concurrent queries.
	inFlightQueries chan struct{}
	pending         pendingQueries
	// objects limits the rate and the concurrency of its calls.
	objects ObjectReader
	// inFlightZoneQueries is a semaphore that limits the concurrent queries from other zones.
	inFlightZoneQueries chan struct{}
	background          conc.WaitGroup
}

// New returns an API. Mount registers its handlers.
func New(options Options) *API {
	options = options.withDefaults()
	return &API{
		options:         options,
		inFlightQueries: make(chan struct{}, options.MaxQueries),
		objects:         newLimitedObjects(options.Objects, options.PlatformCallsPerSecond),
		pending:         pendingQueries{replies: make(map[uint64]chan *vrwire.Envelope)},

		inFlightZoneQueries: make(chan struct{}, maxZoneQueries),
	}
}

// Close waits for the queries from other zones that are still being answered. It takes at
// most PeerTimeout.
func (a *API) Close() { a.background.Wait() }

// Mount registers the handlers of the operators' API.
func (a *API) Mount(app *fiber.App) {
	app.Post(vrquery.PathQuery, handle(a, vrsettings.RoleRead, a.query))
	app.Post(vrquery.PathCommand, handle(a, vrsettings.RoleRead, a.command))
	app.Get(vrquery.PathConfiguration, handle(a, vrsettings.RoleRead, a.configuration))
	app.Get(vrquery.PathBlocks, handle(a, vrsettings.RoleRead, a.blocks))
	app.Get(vrquery.PathClaims, handle(a, vrsettings.RoleRead, a.claims))
}

// principal is an authenticated operator.
type principal struct {
	name string
	role vrsettings.Role
}

// authenticatedRequest is a request of an authenticated operator. Its body and strings are
// copies, because fiber reuses its buffers.
type authenticatedRequest struct {
	principal
	body   []byte
	params map[string]string
}

// handle returns an HTTP handler that authenticates a request, passes it to a function and
// sends the result or the failure as JSON.
func handle[T any](a *API, role vrsettings.Role, handler func(context.Context, authenticatedRequest) (*T, error)) fiber.Handler {
	return func(c fiber.Ctx) error {
		operator, err := a.authenticate(c.Get(fiber.HeaderAuthorization), role)
		if err != nil {
			return sendFailure(c, err)
		}
		request := authenticatedRequest{principal: operator, body: append([]byte(nil), c.Body()...), params: make(map[string]string)}
		for name, value := range c.Queries() {
			request.params[strings.Clone(name)] = strings.Clone(value)
		}
		ctx, cancel := context.WithTimeout(context.Background(), a.options.QueryTimeout+a.options.InForceTimeout)
		defer cancel()
		result, err := handler(ctx, request)
		if err != nil {
			return sendFailure(c, err)
		}
		return c.JSON(result)
	}
}

// authError reports why a request was not authorized.
type authError struct {
	status  int
	message string
}

func (e *authError) Error() string { return e.message }

// authenticate finds the operator by the hash of the token and checks its role. It compares
// the hash with every declared one in constant time.
func (a *API) authenticate(header string, role vrsettings.Role) (principal, error) {
	token, found := strings.CutPrefix(header, "Bearer ")
	if !found || token == "" {
		return principal{}, &authError{status: http.StatusUnauthorized, message: "a token is required: Authorization: Bearer …"}
	}
	sum := sha256.Sum256([]byte(token))
	hash := []byte(hex.EncodeToString(sum[:]))
	var match *vrsettings.OperatorToken
	for i := range a.options.Tokens {
		if subtle.ConstantTimeCompare([]byte(strings.ToLower(a.options.Tokens[i].TokenHash)), hash) == 1 {
			match = &a.options.Tokens[i]
		}
	}
	if match == nil {
		return principal{}, &authError{status: http.StatusUnauthorized, message: "the token is unknown"}
	}
	operator := principal{name: match.Operator, role: match.Role}
	return operator, operator.requireRole(role)
}

// requireRole returns an error unless the operator has the given role. RoleCommand includes
// RoleRead.
func (p principal) requireRole(role vrsettings.Role) error {
	if p.role == vrsettings.RoleCommand || p.role == role {
		return nil
	}
	return &authError{status: http.StatusForbidden, message: "the token's role is " + string(p.role) + ", this call needs " + string(role)}
}

// decodeBody decodes a JSON body and rejects unknown fields.
func decodeBody[T any](body []byte) (*T, error) {
	value := new(T)
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return nil, usageError("the body is malformed: " + err.Error())
	}
	return value, nil
}

func usageError(message string) error {
	return &vrquery.Failure{Kind: vrquery.FailureUsage, Message: message}
}

func unavailableError(message string) error {
	return &vrquery.Failure{Kind: vrquery.FailureUnavailable, Message: message}
}

// _failureStatuses maps each kind of failure to its HTTP status.
var _failureStatuses = map[vrquery.FailureKind]int{
	vrquery.FailureUsage:       http.StatusBadRequest,
	vrquery.FailureRefused:     http.StatusUnprocessableEntity,
	vrquery.FailureConflict:    http.StatusConflict,
	vrquery.FailureUnavailable: http.StatusServiceUnavailable,
	vrquery.FailureUndecided:   http.StatusGatewayTimeout,
}

// sendFailure responds with the vrquery.Failure for an error and its HTTP status.
func sendFailure(c fiber.Ctx, err error) error {
	failure, status := toFailure(err)
	return c.Status(status).JSON(failure)
}

// toFailure converts an error to a Failure and its HTTP status.
func toFailure(err error) (*vrquery.Failure, int) {
	var failure *vrquery.Failure
	var authErr *authError
	var syntaxErr *vrquery.SyntaxError
	var validationErr *vrconfig.ValidationError
	var groupsErr *vrquery.TooManyGroupsError
	switch {
	case errors.As(err, &failure):
	case errors.As(err, &authErr):
		return &vrquery.Failure{Kind: vrquery.FailureRefused, Message: authErr.message}, authErr.status
	case errors.As(err, &syntaxErr), errors.As(err, &groupsErr):
		failure = &vrquery.Failure{Kind: vrquery.FailureUsage, Message: err.Error()}
	case errors.As(err, &validationErr):
		failure = &vrquery.Failure{Kind: vrquery.FailureRefused, Message: err.Error()}
	default:
		failure = &vrquery.Failure{Kind: vrquery.FailureUnavailable, Message: err.Error()}
	}
	return failure, _failureStatuses[failure.Kind]
}
