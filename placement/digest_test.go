package placement_test

import (
	"crypto/sha256"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"

	"example.org/milletvane/placement"
)

var update = flag.Bool("update", false, "rewrite the files in testdata")

// compareLines compares lines with a file in testdata, or writes the file with -update. It returns the position of the first
// line that differs, or -1.
func compareLines(t *testing.T, file string, got []string) (firstDifference int) {
	t.Helper()
	path := filepath.Join("testdata", file)
	if *update {
		if err := os.WriteFile(path, []byte(strings.Join(got, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
		return -1
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	if len(got) != len(want) {
		t.Errorf("%s: got %d lines, want %d", path, len(got), len(want))
	}
	firstDifference = -1
	reported := 0
	for i := range min(len(got), len(want)) {
		if got[i] == want[i] {
			continue
		}
		if firstDifference < 0 {
			firstDifference = i
		}
		if reported++; reported <= 5 {
			t.Errorf("%s:%d:\n got %s\nwant %s", path, i+1, got[i], want[i])
		}
	}
	return firstDifference
}

// compareDigests compares the digests of transcripts with a file in testdata, and logs the first transcript whose digest
// differs.
func compareDigests(t *testing.T, file string, transcripts []string) {
	t.Helper()
	var lines []string
	for seed, text := range transcripts {
		lines = append(lines, fmt.Sprintf("%04d %.16x", seed, sha256.Sum256([]byte(text))))
	}
	if i := compareLines(t, file, lines); i >= 0 && i < len(transcripts) {
		t.Logf("transcript of seed %d:\n%s", i, transcripts[i])
	}
}

var (
	zoneNames  = []string{"south", "east", "west", "north"} // unsorted on purpose
	classNames = []string{"feed", "chat", "bulk"}
	modelNames = []string{"large", "small", "old"}
)

// randomChance returns true with a probability given in percent.
func randomChance(rng *rand.Rand, percent int) bool { return rng.IntN(100) < percent }

func randomElement[T any](rng *rand.Rand, of []T) T { return of[rng.IntN(len(of))] }

// randomSubset returns each element with a probability given in percent, in their order.
func randomSubset[T any](rng *rand.Rand, of []T, percent int) (some []T) {
	for _, v := range of {
		if randomChance(rng, percent) {
			some = append(some, v)
		}
	}
	return some
}

// problemSize limits the size and the figures of a random problem.
type problemSize struct {
	zones, nodes, classes int   // largest numbers
	load, cost            int64 // exclusive upper limits of the load of a demand and the cost of a crossing
	factor                int64 // multiplier of every load and capacity
}

// randomSize returns the size of a random problem. One problem in twelve has the maximum number of zones, nodes and classes.
// About one in seven has large figures: all loads and capacities are multiplied by the prime 97, which tests ratios that do
// not divide evenly. About one in eight has figures so small that many plans are equal in every goal.
func randomSize(rng *rand.Rand) problemSize {
	s := problemSize{zones: 1 + rng.IntN(3), nodes: rng.IntN(8), classes: 2, load: 40, cost: 12, factor: 1}
	if randomChance(rng, 8) {
		s.zones, s.nodes, s.classes = len(zoneNames), 10, len(classNames)
		return s
	}
	if randomChance(rng, 15) {
		s.factor = 97
		return s
	}
	if randomChance(rng, 15) {
		s.zones, s.load, s.cost = 2+rng.IntN(2), 5, 2
	}
	return s
}

// randomProblem returns a random problem of a size, without constraints.
func randomProblem(rng *rand.Rand, s problemSize) *placement.Problem {
	p := &placement.Problem{Zones: zoneNames[:s.zones], DefaultCost: rng.Int64N(5)}
	hasPlan := randomChance(rng, 70)
	for i := range s.nodes {
		n := placement.Node{ID: fmt.Sprintf("node-%02d", 97*i%11), Zone: randomElement(rng, p.Zones), Model: randomElement(rng,
			modelNames)}
		if randomChance(rng, 85) {
			n.Capacity = (1 + rng.Int64N(s.load*3/2)) * s.factor
		}
		if hasPlan && randomChance(rng, 80) {
			n.CurrentLoad = rng.Int64N(s.load) * s.factor
		}
		p.Nodes = append(p.Nodes, n)
	}
	for _, zone := range p.Zones {
		for _, class := range classNames[:s.classes] {
			if randomChance(rng, 85) {
				p.Demands = append(p.Demands, placement.Demand{
					Zone: zone, Class: class,
					Load: rng.Int64N(s.load) * s.factor,
				})
			}
		}
		for _, to := range p.Zones {
			if to != zone && randomChance(rng, 60) || to == zone && randomChance(rng, 5) {
				p.Crossings = append(p.Crossings, placement.Crossing{From: zone, To: to, Cost: rng.Int64N(s.cost)})
			}
		}
	}
	if randomChance(rng, 50) {
		p.Order = slices.Clone(placement.DefaultOrder)
		rng.Shuffle(len(p.Order), func(i, j int) { p.Order[i], p.Order[j] = p.Order[j], p.Order[i] })
	}
	return p
}

// randomConstraints returns up to four random constraints of any kind in random order.
func randomConstraints(rng *rand.Rand, zones []string, factor int64) (list []placement.Constraint) {
	class := func() string { return randomElement(rng, classNames) }
	kinds := []func() placement.Constraint{
		func() placement.Constraint { return placement.Constraint{Kind: placement.Carry} },
		func() placement.Constraint { return placement.Constraint{Kind: placement.Carry, Class: class()} },
		func() placement.Constraint {
			return placement.Constraint{Kind: placement.Headroom, Part: placement.Ratio{
				Num: 3 + rng.Int64N(8),
				Den: 10,
			}}
		},
		func() placement.Constraint { return placement.Constraint{Kind: placement.Keep, Class: class()} },
		func() placement.Constraint {
			return placement.Constraint{Kind: placement.Keep, Class: class(), Zones: randomSubset(rng, zones, 60)}
		},
		func() placement.Constraint {
			return placement.Constraint{Kind: placement.KeepOut, Class: class(), Zones: randomSubset(rng, zones, 50)}
		},
		func() placement.Constraint {
			return placement.Constraint{
				Kind: placement.Spread, Class: class(), Count: 1 + rng.Int64N(3),
				Least: rng.Int64N(6) * factor,
			}
		},
		func() placement.Constraint {
			return placement.Constraint{Kind: placement.Share, Part: placement.Ratio{Num: 1 + rng.Int64N(4), Den: 1 +
				4*rng.Int64N(3) + 3}}
		},
		func() placement.Constraint {
			return placement.Constraint{Kind: placement.Together, Classes: randomSubset(rng, classNames, 70)}
		},
		func() placement.Constraint {
			return placement.Constraint{
				Kind: placement.Pair, Model: randomElement(rng, modelNames),
				With: randomElement(rng, modelNames),
			}
		},
		func() placement.Constraint {
			return placement.Constraint{
				Kind: placement.Connections, Model: randomElement(rng, modelNames),
				Count: rng.Int64N(9), Least: rng.Int64N(4) * factor,
			}
		},
		func() placement.Constraint {
			return placement.Constraint{Kind: placement.Moves, Count: rng.Int64N(60) * factor}
		},
	}
	hasBranchingConstraint := false
	for i := range rng.IntN(5) {
		c := randomElement(rng, kinds)()
		if c.Kind == placement.Spread || c.Kind == placement.Together {
			if hasBranchingConstraint { // the solver takes long with several of these
				continue
			}
			hasBranchingConstraint = true
		}
		c.Name, c.Line = fmt.Sprint("constraint-", i), rng.IntN(100)
		list = append(list, c)
	}
	return list
}

func describeGoals(b *strings.Builder, name string, g placement.Goals) {
	fmt.Fprintf(b, "%s: uncarried %d, crossings %d, fullest %d/%d, moves %d\n",
		name, g.Uncarried, g.Crossings, g.Fullest.Num, g.Fullest.Den, g.Moves)
}

func describePlan(b *strings.Builder, p *placement.Plan) {
	describeGoals(b, "goals", p.Goals)
	describeGoals(b, "bound", p.Bound)
	fmt.Fprintf(b, "proven %t, steps %d\n", p.Proven, p.Steps)
	for _, id := range slices.Sorted(maps.Keys(p.Load)) {
		fmt.Fprintf(b, "load %s %d\n", id, p.Load[id])
	}
	for _, f := range p.Flows {
		fmt.Fprintf(b, "flow %s %s %s %d\n", f.Class, f.From, f.To, f.Load)
	}
	for _, d := range p.Unplaced {
		fmt.Fprintf(b, "missed %s %s %d\n", d.Class, d.Zone, d.Load)
	}
}

// numbersAndZones matches the numbers and zone names in the text of a relaxation. Digests contain only these, so that they do
// not depend on the wording.
var numbersAndZones = regexp.MustCompile(`\d+|\b(?:` + strings.Join(zoneNames, "|") + `)\b`)

func describeConflict(b *strings.Builder, e *placement.InfeasibleError) {
	for _, r := range e.Conflict {
		fmt.Fprintf(b, "conflict %s, line %d, kind %d: %q\n", r.Constraint.Name, r.Constraint.Line, r.Constraint.Kind,
			numbersAndZones.FindAllString(r.Text, -1))
	}
}

// describeSolution writes the plan that the solver returns for a problem, or the conflict, to b. It returns the plan, or nil
// if there is none.
func describeSolution(t *testing.T, b *strings.Builder, p *placement.Problem, o placement.Options) *placement.Plan {
	t.Helper()
	plan, err := placement.Solve(p, o)
	var conflict *placement.InfeasibleError
	switch {
	case err == nil:
		describePlan(b, plan)
	case errors.As(err, &conflict):
		describeConflict(b, conflict)
	default:
		t.Error(err)
	}
	return plan
}

// describeContingencies writes the contingencies for losses from a plan to b.
func describeContingencies(t *testing.T, b *strings.Builder, p *placement.Problem, plan *placement.Plan,
	batches []placement.Batch,
) {
	t.Helper()
	progress := func(done, all int) { fmt.Fprintf(b, "progress %d of %d\n", done, all) }
	list, err := placement.Contingencies(p, plan, batches, placement.Options{MaxSteps: 300}, progress)
	if err != nil {
		t.Error(err)
	}
	for _, c := range list {
		fmt.Fprintf(b, "contingency %s: lost %q, short %d\n", c.Name, c.Lost, c.Shortfall)
		if c.Plan != nil {
			describePlan(b, c.Plan)
		}
		if c.Conflict != nil {
			describeConflict(b, c.Conflict)
		}
	}
}

// solveOutcome is the kind of result that the solver returns for a problem.
type solveOutcome int

const (
	proven solveOutcome = iota
	unproven
	conflicting
)

// problemTranscript returns the result for the random problem of a seed as text, and the kind of that result.
func problemTranscript(t *testing.T, seed uint64) (string, solveOutcome) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 20))
	size := randomSize(rng)
	p := randomProblem(rng, size)
	p.Constraints = randomConstraints(rng, p.Zones, size.factor)
	o := placement.Options{MaxSteps: 1000}
	if seed%4 == 3 {
		o.MaxSteps = 1 + rng.IntN(150)
	}
	var b strings.Builder
	plan := describeSolution(t, &b, p, o)
	if plan == nil {
		return b.String(), conflicting
	}
	if !plan.Proven {
		return b.String(), unproven
	}
	return b.String(), proven
}

// forEachSeed calls f with every seed below a number, on a few goroutines at a time.
func forEachSeed(seeds int, f func(seed int)) {
	const workers = 4
	var wg sync.WaitGroup
	for worker := range workers {
		wg.Go(func() {
			for seed := worker; seed < seeds; seed += workers {
				f(seed)
			}
		})
	}
	wg.Wait()
}

// Guards against changed results: the plans, with their goals, and the conflicts for random problems must be as recorded.
func TestRandomProblemDigests(t *testing.T) {
	const seeds = 240
	transcripts, outcomes := make([]string, seeds), make([]solveOutcome, seeds)
	forEachSeed(seeds, func(seed int) { transcripts[seed], outcomes[seed] = problemTranscript(t, uint64(seed)) })
	counts := map[solveOutcome]int{}
	for _, v := range outcomes {
		counts[v]++
	}
	t.Logf("%d proven plans, %d unproven plans, %d conflicts", counts[proven], counts[unproven], counts[conflicting])
	if counts[proven] < 100 || counts[unproven] < 3 || counts[conflicting] < 40 {
		t.Error("too few random problems for a kind of result, want at least 100 proven, 3 unproven and 40 conflicts")
	}
	compareDigests(t, "problems.txt", transcripts)
}

// contingencyTranscript returns the contingencies for the random problem of a seed as text.
func contingencyTranscript(t *testing.T, seed uint64) string {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 26))
	p := randomProblem(rng, problemSize{
		zones: 1 + rng.IntN(2), nodes: 2 + rng.IntN(3), classes: 1 + rng.IntN(2), load: 12,
		cost: 3, factor: 1,
	})
	for i := range p.Nodes {
		if p.Nodes[i].Capacity > 0 {
			p.Nodes[i].Capacity += 20
		}
	}
	p.Constraints = randomSubset(rng, []placement.Constraint{
		{Name: "moves", Kind: placement.Moves, Count: 60 + rng.Int64N(20)},
		{Name: "all", Kind: placement.Carry},
		{Name: "spread", Kind: placement.Spread, Class: "feed", Count: 1 + rng.Int64N(2), Least: rng.Int64N(3)},
		{Name: "share", Kind: placement.Share, Part: placement.Ratio{Num: 2 + rng.Int64N(2), Den: 3}},
		{Name: "headroom", Kind: placement.Headroom, Part: placement.Ratio{Num: 9, Den: 10}},
	}, 60)
	var b strings.Builder
	plan := describeSolution(t, &b, p, placement.Options{})
	if plan != nil {
		describeContingencies(t, &b, p, plan, []placement.Batch{
			{Model: "large", Size: 2},
			{Model: "small", Size: 1},
			{Model: "old"},
		})
	}
	return b.String()
}

// Guards against changed results: the contingencies for random problems must be as recorded.
func TestRandomContingencyDigests(t *testing.T) {
	transcripts := make([]string, 60)
	forEachSeed(len(transcripts), func(seed int) { transcripts[seed] = contingencyTranscript(t, uint64(seed)) })
	counts := map[string]int{}
	for _, what := range []string{
		"contingency node", "contingency zone", "contingency batch", "conflict spread",
		"conflict all",
	} {
		for _, text := range transcripts {
			counts[what] += strings.Count(text, what)
		}
		if counts[what] == 0 {
			t.Errorf("no transcript contains %q", what)
		}
	}
	t.Log(counts)
	compareDigests(t, "losses.txt", transcripts)
}

// Guards against changed step limits: the results with MaxSteps just below, at and just above the steps that each further
// branch takes must be as recorded.
func TestStepBounds(t *testing.T) {
	p := &placement.Problem{
		Zones: []string{"east", "north", "west"},
		Nodes: []placement.Node{
			{ID: "one", Zone: "east", Capacity: 6},
			{ID: "two", Zone: "north", Capacity: 6},
			{ID: "three", Zone: "west", Capacity: 7},
		},
		Demands:     []placement.Demand{{Zone: "east", Class: "feed", Load: 4}, {Zone: "west", Class: "chat", Load: 3}},
		DefaultCost: 1,
		Constraints: []placement.Constraint{
			{Name: "together", Kind: placement.Together, Classes: []string{
				"feed",
				"chat",
			}},
			{Name: "spread", Kind: placement.Spread, Class: "feed", Count: 1, Least: 2},
		},
	}
	var lines []string
	solveWithin := func(steps int) *placement.Plan {
		plan, err := placement.Solve(p, placement.Options{MaxSteps: steps})
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, fmt.Sprintf("%d steps: %d taken, proven %t, uncarried %d, crossings %d", steps,
			plan.Steps, plan.Proven, plan.Uncarried, plan.Crossings))
		return plan
	}
	for plan := solveWithin(1); !plan.Proven; {
		taken := plan.Steps
		solveWithin(taken - 1)
		solveWithin(taken)
		plan = solveWithin(taken + 1)
	}
	compareLines(t, "steps.txt", lines)
}

// Guards against changed results on larger fleets: the random fleets of RandomProblem, and their plans with additional
// constraints that restrict them, must be as recorded.
func TestRandomFleetDigests(t *testing.T) {
	var transcripts []string
	for seed := range uint64(8) {
		p := placement.RandomProblem(24+int(seed), 2+int(seed%4), seed)
		var b strings.Builder
		for _, n := range p.Nodes {
			fmt.Fprintf(&b, "node %s %s %s %d %d\n", n.ID, n.Zone, n.Model, n.Capacity, n.CurrentLoad)
		}
		for _, d := range p.Demands {
			fmt.Fprintf(&b, "demand %s %s %d\n", d.Zone, d.Class, d.Load)
		}
		for _, c := range p.Crossings {
			fmt.Fprintf(&b, "crossing %s %s %d\n", c.From, c.To, c.Cost)
		}
		fmt.Fprintf(&b, "zones %q, default cost %d\n", p.Zones, p.DefaultCost)
		for _, c := range p.Constraints {
			fmt.Fprintf(&b, "constraint %s %d %d/%d\n", c.Name, c.Kind, c.Part.Num, c.Part.Den)
		}
		plan := describeSolution(t, &b, p, placement.Options{})
		if plan != nil && seed%3 == 0 {
			p.Constraints = append(p.Constraints,
				placement.Constraint{Name: "spread", Kind: placement.Spread, Class: "class0", Count: 2, Least: 50},
				placement.Constraint{Name: "moves", Kind: placement.Moves, Count: 900})
			for i := range p.Nodes {
				p.Nodes[i].CurrentLoad = plan.Load[p.Nodes[i].ID] * 9 / 10
			}
			describeSolution(t, &b, p, placement.Options{})
		}
		transcripts = append(transcripts, b.String())
	}
	compareDigests(t, "sites.txt", transcripts)
}

// problemChange is a single change to a valid problem.
type problemChange struct {
	name  string
	apply func(*placement.Problem)
}

// referenceChanges returns changes to names and to references to them.
func referenceChanges() []problemChange {
	return []problemChange{
		{"none", func(*placement.Problem) {}},
		{"zone twice", func(p *placement.Problem) { p.Zones = append(p.Zones, "east") }},
		{"node twice", func(p *placement.Problem) { p.Nodes = append(p.Nodes, p.Nodes[0]) }},
		{"node in no zone", func(p *placement.Problem) { p.Nodes[0].Zone = "nowhere" }},
		{"demand twice", func(p *placement.Problem) { p.Demands = append(p.Demands, p.Demands[0]) }},
		{"demand in no zone", func(p *placement.Problem) { p.Demands[0].Zone = "nowhere" }},
		{"crossing from no zone", func(p *placement.Problem) { p.Crossings[0].From = "nowhere" }},
		{"crossing to no zone", func(p *placement.Problem) { p.Crossings[0].To = "nowhere" }},
		{"crossing twice", func(p *placement.Problem) { p.Crossings = append(p.Crossings, p.Crossings[0]) }},
		{"constraint twice", func(p *placement.Problem) { p.Constraints[1].Name = p.Constraints[0].Name }},
		{"constraint of no zone", func(p *placement.Problem) { p.Constraints[0].Zones = []string{"nowhere"} }},
		{"constraint of an unknown class", func(p *placement.Problem) { p.Constraints[0].Class = "nothing" }},
	}
}

// sizeAndGoalChanges returns changes to the goals and to the numbers of zones and nodes.
func sizeAndGoalChanges() []problemChange {
	return []problemChange{
		{"goal left out", func(p *placement.Problem) { p.Order = placement.DefaultOrder[1:] }},
		{"goal twice", func(p *placement.Problem) {
			p.Order = append(slices.Clone(placement.DefaultOrder),
				placement.Moved)
		}},
		{"unknown goal", func(p *placement.Problem) {
			p.Order = append(slices.Clone(placement.DefaultOrder[1:]), "speed")
		}},
		{"goals in another order", func(p *placement.Problem) {
			p.Order = slices.Clone(placement.DefaultOrder)
			slices.Reverse(p.Order)
		}},
		{"too many zones", func(p *placement.Problem) {
			for i := len(p.Zones); i < placement.MaxZones+1; i++ {
				p.Zones = append(p.Zones, fmt.Sprint("zone-", i))
			}
		}},
		{"as many zones as allowed", func(p *placement.Problem) {
			for i := len(p.Zones); i < placement.MaxZones; i++ {
				p.Zones = append(p.Zones, fmt.Sprint("zone-", i))
			}
		}},
		{"too many nodes", func(p *placement.Problem) {
			for i := len(p.Nodes); i < placement.MaxNodes+1; i++ {
				p.Nodes = append(p.Nodes, placement.Node{ID: fmt.Sprint("more-", i), Zone: "east"})
			}
		}},
	}
}

// figureChanges returns changes that set each figure of a problem to its limits and beyond them.
func figureChanges() (changes []problemChange) {
	for _, f := range []struct {
		name string
		of   func(*placement.Problem) *int64
		at   []int64
	}{
		{"capacity", func(p *placement.Problem) *int64 { return &p.Nodes[0].Capacity }, []int64{
			-1, 0,
			placement.MaxLoad, placement.MaxLoad + 1,
		}},
		{"load now", func(p *placement.Problem) *int64 { return &p.Nodes[0].CurrentLoad }, []int64{
			-1, 0, placement.MaxLoad,
			placement.MaxLoad + 1,
		}},
		{"demand", func(p *placement.Problem) *int64 { return &p.Demands[0].Load }, []int64{
			-1, 0, placement.MaxLoad,
			placement.MaxLoad + 1,
		}},
		{"crossing", func(p *placement.Problem) *int64 { return &p.Crossings[0].Cost }, []int64{
			-1, 0,
			placement.MaxCost, placement.MaxCost + 1,
		}},
		{"default cost", func(p *placement.Problem) *int64 { return &p.DefaultCost }, []int64{
			-1, 0,
			placement.MaxCost, placement.MaxCost + 1,
		}},
		{"count", func(p *placement.Problem) *int64 { return &p.Constraints[0].Count }, []int64{
			-1, 0,
			placement.MaxLoad, placement.MaxLoad + 1,
		}},
		{"least", func(p *placement.Problem) *int64 { return &p.Constraints[0].Least }, []int64{
			-1, 0,
			placement.MaxLoad, placement.MaxLoad + 1,
		}},
		{"headroom numerator", func(p *placement.Problem) *int64 { return &p.Constraints[1].Part.Num }, []int64{
			-1, 0,
			10, 11,
		}},
		{"headroom denominator", func(p *placement.Problem) *int64 { return &p.Constraints[1].Part.Den }, []int64{
			-1,
			0, 8, 9, 1_000_000, 1_000_001,
		}},
		{"share numerator", func(p *placement.Problem) *int64 { return &p.Constraints[2].Part.Num }, []int64{
			-1, 0,
			10, 11,
		}},
		{"share denominator", func(p *placement.Problem) *int64 { return &p.Constraints[2].Part.Den }, []int64{
			-1, 0,
			1, 2, 1_000_000, 1_000_001,
		}},
	} {
		for _, v := range f.at {
			changes = append(changes, problemChange{fmt.Sprint(f.name, " ", v), func(p *placement.Problem) { *f.of(p) = v }})
		}
	}
	return changes
}

// validProblem returns the problem that the changes apply to.
func validProblem() *placement.Problem {
	return &placement.Problem{
		Zones: []string{"east", "west"},
		Nodes: []placement.Node{{ID: "one", Zone: "east", Capacity: 5}, {
			ID: "two", Zone: "west",
			Capacity: 5,
		}},
		Demands:     []placement.Demand{{Zone: "east", Class: "feed", Load: 3}},
		Crossings:   []placement.Crossing{{From: "east", To: "west", Cost: 2}},
		DefaultCost: 1,
		Constraints: []placement.Constraint{
			{Name: "spread", Kind: placement.Spread, Class: "feed", Count: 1},
			{Name: "headroom", Kind: placement.Headroom, Part: placement.Ratio{Num: 9, Den: 10}},
			{Name: "share", Kind: placement.Share, Part: placement.Ratio{Num: 2, Den: 10}},
		},
	}
}

// Guards against changed validation rules: a valid problem with one change at a time, up to the limits and beyond them, must
// be accepted or rejected as recorded.
func TestProblemsAcceptedAndRejected(t *testing.T) {
	var lines []string
	for _, c := range slices.Concat(referenceChanges(), sizeAndGoalChanges(), figureChanges()) {
		p := validProblem()
		c.apply(p)
		verdict := "accepted"
		if p.Check() != nil {
			verdict = "rejected"
			if plan, err := placement.Solve(p, placement.Options{}); plan != nil || err == nil {
				t.Errorf("%s: Solve accepted a problem that Check rejects", c.name)
			}
		}
		lines = append(lines, c.name+": "+verdict)
	}
	compareLines(t, "checks.txt", lines)
}
