// Package vroperator is the operators' interface of a daemon: queries over the record
// and the live state, commands that change the configuration, and the raw record for
// audits. Any daemon answers for the whole fleet.
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

// Objects reads the platform.
type Objects interface {
	Read(ctx context.Context, key string) (value []byte, outcome vrplatform.Outcome)
	List(ctx context.Context, prefix string, values bool) (items []vrplatform.Item, outcome vrplatform.Outcome)
}

// Changes takes operators' changes.
type Changes interface {
	// Propose waits for the decision on a change, at most until ctx ends.
	Propose(ctx context.Context, event vrevent.ConfigProposed) vrevent.ConfigDecided
	// Submit hands an event to the reducer.
	Submit(event vrevent.Event)
}

// Peer is another daemon.
type Peer struct {
	Daemon  vrid.DaemonID
	Address string
	Zone    vrid.ZoneID
	// Owner is set for the owner of its zone.
	Owner bool
}

// Live is what this daemon knows at the moment.
type Live interface {
	// Configuration is the one in force here, nil before the first.
	Configuration() *vrconfig.Index
	State() *vrquery.State
	// Unwritten copies the record entries that are not yet in a block.
	Unwritten() []vrrecord.Entry
	Peers() []Peer
}

// Sender sends a message to another daemon. It doesn't block.
type Sender interface {
	SendPeer(peer vrid.DaemonID, address string, envelope *vrwire.Envelope)
}

// Options construct an Operator. Zero limits take defaults.
type Options struct {
	Daemon vrid.DaemonID
	Boot   vrid.BootID
	Zone   vrid.ZoneID
	Tokens []vrsettings.OperatorToken

	Objects Objects
	Changes Changes
	Live    Live
	Sender  Sender
	// Now is the clock, time.Now if nil.
	Now func() time.Time

	// QueryTime bounds a query (30s), PeerTime the wait for other daemons (1s),
	// CommandTime the wait for a decision (10s), ForceTime the wait until a change is
	// in force everywhere (15s).
	QueryTime   time.Duration
	PeerTime    time.Duration
	CommandTime time.Duration
	ForceTime   time.Duration
	// Queries is how many queries run at once (2).
	Queries int
	// PlatformCalls is how many calls a second operators may cause (20). The daemon's own
	// calls, such as the renewal of a lease, share its limit and must not wait for them.
	PlatformCalls int
}

const (
	defaultQueryTime   = 30 * time.Second
	defaultPeerTime    = time.Second
	defaultCommandTime = 10 * time.Second
	// defaultForceTime is twice the 7 s in which a change is in force everywhere.
	defaultForceTime = 15 * time.Second
	defaultQueries   = 2
	maxZoneQueries   = 8
	// defaultPlatformCalls is less than half of a daemon's 50 calls a second.
	defaultPlatformCalls = 20
)

func (o Options) withDefaults() Options {
	set := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	set(&o.QueryTime, defaultQueryTime)
	set(&o.PeerTime, defaultPeerTime)
	set(&o.CommandTime, defaultCommandTime)
	set(&o.ForceTime, defaultForceTime)
	if o.Queries == 0 {
		o.Queries = defaultQueries
	}
	if o.PlatformCalls == 0 {
		o.PlatformCalls = defaultPlatformCalls
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Operator answers operators.
type Operator struct {
	options Options
	// running holds one place for each running query.
	running chan struct{}
	tails   tails
	objects Objects
	// zoneQueries holds one place for each question of another zone.
	zoneQueries chan struct{}
	background  conc.WaitGroup
}

// New builds an Operator.
func New(options Options) *Operator {
	options = options.withDefaults()
	return &Operator{
		options: options,
		running: make(chan struct{}, options.Queries),
		objects: newPaced(options.Objects, options.PlatformCalls),
		tails:   tails{waiting: make(map[uint64]chan *vrwire.Envelope)},

		zoneQueries: make(chan struct{}, maxZoneQueries),
	}
}

// Close waits for the answers to other zones that are being made, at most PeerTime.
func (o *Operator) Close() { o.background.Wait() }

// Mount adds the handlers to the operators' address.
func (o *Operator) Mount(app *fiber.App) {
	app.Post(vrquery.PathQuery, handle(o, vrsettings.RoleRead, o.query))
	app.Post(vrquery.PathCommand, handle(o, vrsettings.RoleRead, o.command))
	app.Get(vrquery.PathConfiguration, handle(o, vrsettings.RoleRead, o.configuration))
	app.Get(vrquery.PathBlocks, handle(o, vrsettings.RoleRead, o.blocks))
	app.Get(vrquery.PathClaims, handle(o, vrsettings.RoleRead, o.claims))
}

// caller is an operator whose token was accepted.
type caller struct {
	name string
	role vrsettings.Role
}

// call is one call of an operator. Its strings are copies: the library reuses its
// buffers.
type call struct {
	caller
	body   []byte
	params map[string]string
}

// handle makes a handler of a function that takes a checked call.
func handle[T any](o *Operator, role vrsettings.Role, answer func(context.Context, call) (*T, error)) fiber.Handler {
	return func(c fiber.Ctx) error {
		who, err := o.authenticate(c.Get(fiber.HeaderAuthorization), role)
		if err != nil {
			return sendFailure(c, err)
		}
		request := call{caller: who, body: append([]byte(nil), c.Body()...), params: make(map[string]string)}
		for name, value := range c.Queries() {
			request.params[strings.Clone(name)] = strings.Clone(value)
		}
		ctx, cancel := context.WithTimeout(context.Background(), o.options.QueryTime+o.options.ForceTime)
		defer cancel()
		result, err := answer(ctx, request)
		if err != nil {
			return sendFailure(c, err)
		}
		return c.JSON(result)
	}
}

// authError says why a token was not accepted.
type authError struct {
	status  int
	message string
}

func (e *authError) Error() string { return e.message }

// authenticate compares the token's hash with every declared one in constant time.
func (o *Operator) authenticate(header string, role vrsettings.Role) (caller, error) {
	token, found := strings.CutPrefix(header, "Bearer ")
	if !found || token == "" {
		return caller{}, &authError{status: http.StatusUnauthorized, message: "a token is needed: Authorization: Bearer …"}
	}
	sum := sha256.Sum256([]byte(token))
	hash := []byte(hex.EncodeToString(sum[:]))
	var who *vrsettings.OperatorToken
	for i := range o.options.Tokens {
		if subtle.ConstantTimeCompare([]byte(strings.ToLower(o.options.Tokens[i].TokenHash)), hash) == 1 {
			who = &o.options.Tokens[i]
		}
	}
	if who == nil {
		return caller{}, &authError{status: http.StatusUnauthorized, message: "the token is unknown"}
	}
	operator := caller{name: who.Operator, role: who.Role}
	return operator, operator.need(role)
}

// need checks a role; command includes read.
func (c caller) need(role vrsettings.Role) error {
	if c.role == vrsettings.RoleCommand || c.role == role {
		return nil
	}
	return &authError{status: http.StatusForbidden, message: "the token's role is " + string(c.role) + ", this needs " + string(role)}
}

func decodeBody[T any](body []byte) (*T, error) {
	value := new(T)
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return nil, usage("the body is malformed: " + err.Error())
	}
	return value, nil
}

func usage(message string) error {
	return &vrquery.Failure{Kind: vrquery.FailureUsage, Message: message}
}

func unavailable(message string) error {
	return &vrquery.Failure{Kind: vrquery.FailureUnavailable, Message: message}
}

var _statuses = map[vrquery.FailureKind]int{
	vrquery.FailureUsage:       http.StatusBadRequest,
	vrquery.FailureRefused:     http.StatusUnprocessableEntity,
	vrquery.FailureConflict:    http.StatusConflict,
	vrquery.FailureUnavailable: http.StatusServiceUnavailable,
	vrquery.FailureUndecided:   http.StatusGatewayTimeout,
}

// sendFailure turns an error into a status and a Failure.
func sendFailure(c fiber.Ctx, err error) error {
	failure, status := failureOf(err)
	return c.Status(status).JSON(failure)
}

func failureOf(err error) (*vrquery.Failure, int) {
	var failure *vrquery.Failure
	var auth *authError
	var syntax *vrquery.SyntaxError
	var check *vrconfig.ValidationError
	var groups *vrquery.TooManyGroupsError
	switch {
	case errors.As(err, &failure):
	case errors.As(err, &auth):
		return &vrquery.Failure{Kind: vrquery.FailureRefused, Message: auth.message}, auth.status
	case errors.As(err, &syntax), errors.As(err, &groups):
		failure = &vrquery.Failure{Kind: vrquery.FailureUsage, Message: err.Error()}
	case errors.As(err, &check):
		failure = &vrquery.Failure{Kind: vrquery.FailureRefused, Message: err.Error()}
	default:
		failure = &vrquery.Failure{Kind: vrquery.FailureUnavailable, Message: err.Error()}
	}
	return failure, _statuses[failure.Kind]
}
