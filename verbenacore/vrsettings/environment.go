package vrsettings

import (
	"strconv"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
)

// Environment returns the value of an environment variable, or an empty string if it is not set, as os.Getenv does.
type Environment func(name string) string

// gatewayVariables are the environment variables of a gateway. They belong to settings that are read at the start
// only and that some deployments do not state: there, the template of a settings file has no value to fill in.
var gatewayVariables = []struct {
	name  string
	field func(*Gateway) any
}{
	{"VERBENAROUTE_CPU", func(g *Gateway) any { return &g.CPU }},
	{"VERBENAROUTE_CATALOG_APPLY", func(g *Gateway) any { return &g.Bounds.CatalogApply }},
	{"VERBENAROUTE_REVOCATION", func(g *Gateway) any { return &g.Bounds.Revocation }},
	{"VERBENAROUTE_QUOTA_WINDOW", func(g *Gateway) any { return &g.Bounds.QuotaWindow }},
	{"VERBENAROUTE_QUOTA_OVERRUN", func(g *Gateway) any { return &g.Bounds.QuotaOverrun }},
	{"VERBENAROUTE_QUOTA_SLACK", func(g *Gateway) any { return &g.Bounds.QuotaSlack }},
}

// fillFrom sets the fields that the file left out to the values of their environment variables. An empty variable
// is not set. It returns a *vrconfig.ValidationError that names each variable with an invalid value.
func (g *Gateway) fillFrom(environment Environment) error {
	checker := &vrconfig.Checker{}
	for _, variable := range gatewayVariables {
		text := environment(variable.name)
		if text == "" {
			continue
		}
		switch field := variable.field(g).(type) {
		case *float64:
			value, err := strconv.ParseFloat(text, 64)
			checker.Require(err == nil, variable.name, text, "a number")
			if *field == 0 {
				*field = value
			}
		case *vrid.Duration:
			var value vrid.Duration
			err := value.UnmarshalText([]byte(text))
			checker.Require(err == nil, variable.name, text, "a duration with its unit, for example 1.5s or 200ms")
			if *field == 0 {
				*field = value
			}
		}
	}
	return checker.Err()
}
