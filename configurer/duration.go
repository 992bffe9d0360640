package configurer

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that JSON shows as a string, as in "750ms".
type Duration time.Duration

// Std returns d as the standard type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON writes d as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON reads a string with a unit.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("duration %s has no unit: write it as a string, as in \"750ms\"", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("duration %q is malformed: write a number and a unit, as in \"750ms\"", s)
	}
	*d = Duration(v)
	return nil
}
