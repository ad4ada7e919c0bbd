// Package vrquery implements the operators' query language: queries over the record and
// the live state, and commands that change the fleet configuration. It does no I/O.
package vrquery

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Value is a word or quoted string of a statement and its position.
type Value struct {
	Pos  lexer.Position
	Text string `parser:"@(Word | String)"`
}

// Statement is a parsed query or command.
type Statement struct {
	// Explain requests the changes of a command without applying it.
	Explain bool `parser:"@'explain'?"`

	Show    *Show    `parser:"( 'show' @@"`
	Declare *Declare `parser:"| 'declare' @@"`
	Retire  *Retire  `parser:"| 'retire' @@"`
	Set     *Set     `parser:"| 'set' @@"`
	Drain   *Value   `parser:"| 'drain' 'server' @@"`
	Undrain *Value   `parser:"| 'undrain' 'server' @@ )"`

	// Text is the source text of the statement.
	Text string `parser:""`
}

// Show is a query.
type Show struct {
	Target  Value     `parser:"@@"`
	Clauses []*Clause `parser:"@@*"`
}

// Clause is one clause of a query. Clauses can be in any order, each at most once.
type Clause struct {
	Pos     lexer.Position
	Where   *Or     `parser:"( 'where' @@"`
	Columns []Value `parser:"| 'columns' @@ (',' @@)*"`
	Since   *Value  `parser:"| 'since' @@"`
	Until   *Value  `parser:"| 'until' @@"`
	By      []Value `parser:"| 'by' @@ (',' @@)*"`
	Per     *Value  `parser:"| 'per' @@"`
	Order   *Order  `parser:"| 'order' 'by' @@"`
	Limit   *Value  `parser:"| 'limit' @@ )"`
}

// Order names the column that a table is sorted by.
type Order struct {
	Column     Value `parser:"@@"`
	Descending bool  `parser:"( @'desc' | 'asc' )?"`
}

// Or is a condition that is true if any of its parts is true.
type Or struct {
	Parts []*And `parser:"@@ ('or' @@)*"`
}

// And is a condition that is true if all of its parts are true.
type And struct {
	Parts []*Term `parser:"@@ ('and' @@)*"`
}

// Term is a comparison, a negated term or a condition in parentheses.
type Term struct {
	Not        *Term       `parser:"  'not' @@"`
	Group      *Or         `parser:"| '(' @@ ')'"`
	Comparison *Comparison `parser:"| @@"`
}

// Comparison compares a column with one value, or with a list of them.
type Comparison struct {
	Column Value   `parser:"@@"`
	In     []Value `parser:"( 'in' '(' @@ (',' @@)* ')'"`
	Op     string  `parser:"| @('=' | '!=' | '<=' | '>=' | '<' | '>' | '~')"`
	Value  *Value  `parser:"  @@ )"`
}

// Declare adds an object to the configuration or changes it.
type Declare struct {
	Pos     lexer.Position
	Service *DeclareService `parser:"( 'service' @@"`
	Thing   *Thing          `parser:"| @@ )"`
}

// Thing is the declaration of an object by its attributes. Parser errors contain the name
// of this type, and _productions translates it.
type Thing struct {
	Noun       string       `parser:"@('model' | 'adapter' | 'kind' | 'pool' | 'caller' | 'region')"`
	Name       Value        `parser:"@@"`
	Attributes []*Attribute `parser:"@@*"`
}

// Attribute is an attribute name with one or more values.
type Attribute struct {
	Name   Value   `parser:"@@"`
	Values []Value `parser:"@@ (',' @@)*"`
}

// DeclareService declares an application service with its calls.
type DeclareService struct {
	Name  Value          `parser:"@@"`
	Parts []*ServicePart `parser:"@@*"`
}

// ServicePart is one part of a service's declaration.
type ServicePart struct {
	Pool    *Value       `parser:"( 'pool' @@"`
	Outcome *Value       `parser:"| 'outcome' @@"`
	Call    *ServiceCall `parser:"| 'call' @@ )"`
}

// ServiceCall declares one call of a service.
type ServiceCall struct {
	Method        Value `parser:"@@"`
	Path          Value `parser:"@@"`
	NotIdempotent bool  `parser:"@'not'? 'idempotent'"`
	Kind          Value `parser:"'kind' @@"`
}

// Retire removes an object from the configuration.
type Retire struct {
	Noun string `parser:"@('model' | 'adapter' | 'service' | 'kind' | 'pool' | 'caller' | 'region')"`
	Name Value  `parser:"@@"`
}

// Set changes a setting that always exists.
type Set struct {
	Rank        *SetRank     `parser:"( 'rank' @@"`
	Replicas    *SetReplicas `parser:"| 'replicas' @@"`
	Budget      *SetBudget   `parser:"| 'budget' 'crossRegion' @@"`
	WeightStore []*Attribute `parser:"| 'weightStore' @@+"`
	Record      []*Attribute `parser:"| 'record' @@+"`
	Claims      []*Attribute `parser:"| 'claims' @@+ )"`
}

// SetRank changes the policy of a rank.
type SetRank struct {
	Rank       Value        `parser:"@@"`
	Attributes []*Attribute `parser:"@@+"`
}

// SetReplicas changes the maximum number of replicas of a model in each zone.
type SetReplicas struct {
	Model Value `parser:"@@"`
	Count Value `parser:"@@"`
}

// SetBudget changes the traffic budget between regions.
type SetBudget struct {
	Bytes     Value  `parser:"@@ 'per' 'hour'"`
	Overdraft *Value `parser:"('overdraft' @@)?"`
}

var _lexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Space", Pattern: `\s+`},
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
	{Name: "Operator", Pattern: `!=|<=|>=|[=<>~(),]`},
	{Name: "Word", Pattern: `[\pL\pN_@./*%+:\-]+`},
})

var _parser = participle.MustBuild[Statement](
	participle.Lexer(_lexer),
	participle.Elide("Space", "Comment"),
	participle.Unquote("String"),
	participle.UseLookahead(2),
)
