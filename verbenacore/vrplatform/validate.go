package vrplatform

import "fmt"

// FieldError reports an invalid field in a response of the platform.
type FieldError struct {
	// Message is the kind of message, for example "watch".
	Message string
	Field   string
	Problem string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s.%s: %s", e.Message, e.Field, e.Problem)
}

func validateItems(message string, items []Item) error {
	for i, item := range items {
		if item.Key == "" {
			return &FieldError{Message: message, Field: fmt.Sprintf("items[%d].key", i), Problem: "is empty"}
		}
		if item.Version == 0 {
			return &FieldError{Message: message, Field: fmt.Sprintf("items[%d].version", i), Problem: "is 0"}
		}
	}
	return nil
}

// Validate checks that each item has a key and a version.
func (l *List) Validate() error { return validateItems("list", l.Items) }

// Validate checks that each item has a key and a version.
func (w *Watch) Validate() error { return validateItems("watch", w.Items) }

// Validate checks that each VM has an ID. A list with an invalid entry is rejected as a
// whole, because a VM that is missing from the list counts as removed.
func (v *VMList) Validate() error {
	for i, vm := range v.VMs {
		if vm.ID == "" {
			return &FieldError{Message: "vms", Field: fmt.Sprintf("vms[%d].id", i), Problem: "is empty"}
		}
	}
	return nil
}
