package config

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"google.golang.org/protobuf/encoding/prototext"
)

// SyntaxError reports a settings file that cannot be parsed.
type SyntaxError struct {
	File string
	Err  error
}

// Error begins with the name of the file.
func (e *SyntaxError) Error() string { return e.File + ": " + e.Err.Error() }

// Unwrap returns the error of the parser.
func (e *SyntaxError) Unwrap() error { return e.Err }

// Load reads and validates both files; operatorPath may be empty. The error for a file that cannot be
// parsed names the file; for invalid settings, one error per setting is joined, each naming its field.
func Load(platformPath, operatorPath string) (*Config, error) {
	platform, err := os.ReadFile(platformPath)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var operator []byte
	if operatorPath != "" {
		if operator, err = os.ReadFile(operatorPath); err != nil {
			return nil, fmt.Errorf("operator settings: %w", err)
		}
	}
	return parse(source{platformPath, platform}, source{operatorPath, operator})
}

// Parse is like Load but takes the contents of the files.
func Parse(platform, operator []byte) (*Config, error) {
	return parse(source{"settings", platform}, source{"operator settings", operator})
}

// source is the content of a file and its name in errors.
type source struct {
	name string
	text []byte
}

func parse(platform, operator source) (*Config, error) {
	c := &Config{Operator: &Operator{}}
	if err := parsePlatform(platform, &c.Platform); err != nil {
		return nil, err
	}
	if err := prototext.Unmarshal(operator.text, c.Operator); err != nil {
		return nil, fmt.Errorf("operator settings: %w", &SyntaxError{operator.name, err})
	}
	c.defaults()
	return c, errors.Join(c.check()...)
}

// parsePlatform parses the platform's file. The error for a value of the wrong type names the field, as
// for other invalid settings; any other syntax error has no field and names file and line.
func parsePlatform(file source, platform *Platform) error {
	err := toml.Unmarshal(file.text, platform)
	if err == nil {
		return nil
	}
	decodeError, ok := errors.AsType[*toml.DecodeError](err)
	if !ok {
		return fmt.Errorf("settings: %w", &SyntaxError{file.name, err})
	}
	row, _ := decodeError.Position()
	if len(decodeError.Key()) == 0 {
		return &SyntaxError{file.name, fmt.Errorf("line %d: %w", row, decodeError)}
	}
	return fmt.Errorf("%s: line %d: %w", strings.Join(decodeError.Key(), "."), row, decodeError)
}

func orDefault(v *uint32, d uint32) {
	if *v == 0 {
		*v = d
	}
}

func (c *Config) defaults() {
	o := c.Operator
	if o.KeyPrefix == "" {
		o.KeyPrefix = "pl/"
	}
	orDefault(&o.Queues, 1)
	orDefault(&o.PermitMs, 1500)
	orDefault(&o.SilenceMs, uint32(c.Settings.Workers.ReportS*2000))
	orDefault(&o.IdleKeepS, 45)
	orDefault(&o.MaxInProgress, uint32(max(8, c.Settings.MachineLimits.MaxConnections/4)))
	orDefault(&o.MemoryPercent, 70)
	orDefault(&o.SparePercent, 15)
	if o.FairAdmission == nil {
		o.FairAdmission = &FairAdmission{}
	}
	orDefault(&o.FairAdmission.EpochMs, 4000)
	orDefault(&o.FairAdmission.FloorPercent, 25)
	orDefault(&o.FairAdmission.LagS, 60)
}
