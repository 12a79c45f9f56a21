package cli

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/urfave/cli/v3"

	"example.org/milletvane/config/operator"
	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/placement"
)

var errNoOperatorFile = errors.New("no operator file is named, set --operator or MILLETVANE_OPERATOR")

// planInput holds the input of a plan, and the hashes by which a plan file identifies that input.
type planInput struct {
	Problem      *placement.Problem
	Settings     *operator.Placement
	ListHash     uint64
	SettingsHash uint64
}

// loadPlanInput reads the operator file, which must have a section placement, and discovery's list of nodes.
func (p *program) loadPlanInput(c *cli.Command) (*planInput, error) {
	file := p.operatorFile(c)
	if file == "" {
		return nil, errNoOperatorFile
	}
	operatorSettings, err := operator.Load(file, nil)
	if err != nil {
		return nil, err
	}
	if operatorSettings.Placement == nil {
		return nil, fmt.Errorf("%s: placement: is missing", file)
	}
	endpoints, err := loadEndpoints(c.String("list"))
	if err != nil {
		return nil, err
	}
	in := &planInput{Settings: operatorSettings.Placement, SettingsHash: hashSettings(operatorSettings.Placement)}
	in.Problem = &placement.Problem{
		Demands: operatorSettings.Placement.Demands, Crossings: operatorSettings.Placement.Crossings,
		DefaultCost: operatorSettings.Placement.DefaultCost,
		Constraints: operatorSettings.Placement.Constraints, Order: operatorSettings.Placement.GoalOrder,
	}
	for _, d := range in.Problem.Demands {
		in.addZone(d.Zone)
	}
	if err := in.addNodes(file, endpoints); err != nil {
		return nil, err
	}
	return in, nil
}

// loadEndpoints returns the endpoints of a list, ordered by ID.
func loadEndpoints(file string) ([]discovery.Endpoint, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	list, err := discovery.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return slices.SortedFunc(slices.Values(list.Endpoints), func(a, b discovery.Endpoint) int {
		return strings.Compare(a.ID, b.ID)
	}), nil
}

// addNodes adds a node for each endpoint and sets the hash of the list. Nodes that are not in service get a capacity of 0.
func (in *planInput) addNodes(operatorFile string, endpoints []discovery.Endpoint) error {
	hash := xxhash.New()
	for _, e := range endpoints {
		capacity, known := in.Settings.Capacity[e.Kind]
		if !known {
			return fmt.Errorf("node %s: its kind %q has no (capacity …) in %s", e.ID, e.Kind, operatorFile)
		}
		if e.State != "in_service" {
			capacity = 0
		}
		in.addZone(e.Zone)
		in.Problem.Nodes = append(in.Problem.Nodes, placement.Node{ID: e.ID, Zone: e.Zone, Model: e.Kind, Capacity: capacity})
		_, _ = fmt.Fprintf(hash, "%q %q %q %d\n", e.ID, e.Zone, e.Kind, capacity) // a hash accepts every write
	}
	in.ListHash = hash.Sum64()
	return nil
}

// addZone adds a zone, unless the problem has it.
func (in *planInput) addZone(zone string) {
	if !slices.Contains(in.Problem.Zones, zone) {
		in.Problem.Zones = append(in.Problem.Zones, zone)
	}
}

// hashSettings returns the hash by which a plan file identifies placement settings. Its input is the printed form of the
// settings, so the names and the order of the fields of placement.Constraint must not change.
func hashSettings(s *operator.Placement) uint64 {
	hash := xxhash.New()
	_, _ = fmt.Fprintf(hash, "%v %v %v %v %v %v", s.GoalOrder, s.Capacity, s.Demands, s.Crossings, s.DefaultCost, s.Batches)
	for _, constraint := range s.Constraints {
		constraint.Line = 0 // comments and blank lines must not change the hash
		_, _ = fmt.Fprintf(hash, "%+v", constraint)
	}
	return hash.Sum64()
}
