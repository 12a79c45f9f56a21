// Package operator reads operator files, which hold the gateway's own settings as S-expressions, and the plan files that they
// name. The platform's settings are separate: they are JSON. Without an operator file none of the features here are enabled.
// Parsing is strict: unknown keys are errors, and all errors of an operator file are reported at once.
//
// The values that the package returns are not changed afterwards, so any goroutine may use them.
package operator

import (
	"fmt"
	"os"
	"path/filepath"
)

// EnvFile is the environment variable that names the operator file, if the command line does not.
const EnvFile = "MILLETVANE_OPERATOR"

// Settings holds the sections of an operator file. A section that is nil is not enabled.
type Settings struct {
	NATS      *NATS
	Placement *Placement
	Plan      *PlanSettings
	Cluster   *Cluster
}

// PlanSettings lets a gateway follow a plan file.
type PlanSettings struct {
	File string // the path as it stands in the operator file
	Zone string // zone of this gateway
	Plan *Plan  // the content of the file; nil after Parse, which reads no other file
}

// Load reads an operator file and the files that it names. The classes are those of the platform's settings; if there are
// none, the file may name any class. The error is that of a file which can't be read, a *KeyError, the joined FileErrors of
// the operator file, or the FileError of the plan file.
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

// load reads the plan file. The settings include the plan, so an error here fails all of Load.
func (p *PlanSettings) load(operatorFile string) error {
	path := resolvePath(operatorFile, p.File)
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%s: plan.file: %w", operatorFile, err)
	}
	p.Plan, err = ParsePlan(path, text)
	return err
}

// resolvePath returns the path of a file that another file names. A relative name is relative to the other file's directory.
func resolvePath(file, name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(file), name)
}

// Parse reads the text of an operator file as Load does, but none of the files that it names.
func Parse(file string, text []byte, classes []string) (*Settings, error) {
	exprs, err := readExprs(file, text)
	if err != nil {
		return nil, err
	}
	errs := &errorList{file: file}
	top := openSection(errs, "", 0, exprs)
	s := &Settings{}
	top.subsection("nats", func(sub *section) { s.NATS = readNATS(sub, classes) }, "request")
	top.subsection("placement", func(sub *section) { s.Placement = readPlacement(sub) },
		"capacity", "demand", "crossing", "constraint", "batch")
	top.subsection("plan", func(sub *section) { s.Plan = readPlanSettings(sub) })
	top.subsection("cluster", func(sub *section) { s.Cluster = readCluster(sub, classes) }, "member", "tier")
	top.close()
	if err := errs.join(); err != nil {
		return nil, err
	}
	return s, nil
}

// readPlanSettings reads the section plan.
func readPlanSettings(s *section) *PlanSettings {
	p := &PlanSettings{File: s.text("file"), Zone: s.text("zone")}
	if p.File == "" {
		s.fail(s.line, "file", "is missing")
	}
	return p
}
