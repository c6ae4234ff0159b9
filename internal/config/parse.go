package config

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"google.golang.org/protobuf/encoding/prototext"
)

// SyntaxError is a file that cannot be read as what it should be.
type SyntaxError struct {
	File string
	Err  error
}

// Error names the file first.
func (e *SyntaxError) Error() string { return e.File + ": " + e.Err.Error() }

// Unwrap returns what the parser said.
func (e *SyntaxError) Unwrap() error { return e.Err }

// Load reads and checks both files; operatorPath may be empty. The error of a file that can't be parsed
// names the file; that of refused settings joins one error a fault, each naming its field.
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

// Parse is Load on the files' contents.
func Parse(platform, operator []byte) (*Config, error) {
	return parse(source{"settings", platform}, source{"operator settings", operator})
}

// source is a file's contents and what errors call it.
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

// parsePlatform reads the platform's file. A value of the wrong type is a refused setting, which its
// field names; the rest has no field, and is named by file and line.
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
