// Package operator reads operator files: the gateway's own settings, as S-expressions. The platform's settings stay JSON,
// and without an operator file the program does what it does without these settings. Reading is strict, and all that is
// wrong in a file is reported in one go.
//
// Nothing here is changed after it was read, so that any goroutine may use it.
package operator

import (
	"fmt"
	"os"
	"path/filepath"
)

// EnvFile names the operator file, where the command line does not.
const EnvFile = "MILLETVANE_OPERATOR"

// Settings are what an operator file holds. A nil part is off.
type Settings struct {
	NATS      *NATS
	Placement *Placement
	Plan      *PlanSettings
	Cluster   *Cluster
}

// PlanSettings has a gateway follow a plan file.
type PlanSettings struct {
	File string // as the operator file names it
	Zone string // of this gateway
	Plan *Plan  // what the file holds; nil from Parse, which reads no other file
}

// Load reads an operator file, and the files that it names. The classes are those of the platform's settings; with none,
// any may be named. The error is that of a file which can't be read, a *KeyError, or all that is wrong in the file as
// FileErrors that are joined.
func Load(file string, classes []string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s, err := Parse(file, text, classes)
	if err != nil {
		return nil, err
	}
	if s.Cluster != nil {
		if err := s.Cluster.loadKey(file); err != nil {
			return nil, err
		}
	}
	if s.Plan != nil {
		if err := s.Plan.load(file); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// load reads the plan file. It is part of the settings: one that can't be read leaves the whole of them.
func (p *PlanSettings) load(operatorFile string) error {
	path := besideFile(operatorFile, p.File)
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%s: plan.file: %w", operatorFile, err)
	}
	p.Plan, err = ParsePlan(path, text)
	return err
}

// besideFile is the path of a file that another one names: relative to that one's directory, unless it is absolute.
func besideFile(file, name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(file), name)
}

// Parse is Load for a text; it reads no other file.
func Parse(file string, text []byte, classes []string) (*Settings, error) {
	exprs, err := readExprs(file, text)
	if err != nil {
		return nil, err
	}
	errs := &errorList{file: file}
	top := openSection(errs, "", 0, exprs)
	s := &Settings{}
	top.subsection("nats", func(in *section) { s.NATS = readNATS(in, classes) }, "request")
	top.subsection("placement", func(in *section) { s.Placement = readPlacement(in) },
		"capacity", "demand", "crossing", "constraint", "batch")
	top.subsection("plan", func(in *section) { s.Plan = readPlanSettings(in) })
	top.subsection("cluster", func(in *section) { s.Cluster = readCluster(in, classes) }, "member", "tier")
	top.close()
	if err := errs.joined(); err != nil {
		return nil, err
	}
	return s, nil
}

func readPlanSettings(s *section) *PlanSettings {
	p := &PlanSettings{File: s.text("file"), Zone: s.text("zone")}
	if p.File == "" {
		s.fail(s.line, "file", "is missing")
	}
	return p
}
