package query

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
)

// completeAnswers sends requests at a multiple of the capacity for ten seconds
// and counts the complete answers by account. Account heavy has weight 3. A
// searcher has 2 slots and takes 5 to 15 ms per call, so two replicas serve 400
// requests per second. Load from other hosts is simulated by searchers that
// shed a share of the calls.
func completeAnswers(t *testing.T, load, shed float64, accounts ...model.ClientAccount) map[model.ClientAccount]int {
	t.Helper()
	const perSecond, duration = 400, 10 * time.Second
	random := rand.New(rand.NewPCG(7, uint64(load*100)))
	s := newSim(t, 4, nil, func(c StartCall) (time.Duration, Event) {
		if random.Float64() < shed {
			return time.Millisecond, callFailure(c, model.FailureShed, true)
		}
		return time.Duration(5+10*random.Float64()) * time.Millisecond, reply(c)
	})
	v := testView(t, 4, map[tree.Key]tree.Value{tree.KeySlowStart: tree.Number(0)}, 1, accounts...)
	if slices.Contains(accounts, "heavy") {
		weighted, err := v.Tree.WithValue("/heavy", tree.KeyWeight, tree.Number(3))
		if err != nil {
			t.Fatal(err)
		}
		v = v.WithSettings(4, weighted)
	}
	s.step(ViewChanged{v})
	s.search("first")
	accountOf := map[model.RequestID]model.ClientAccount{}
	gap := time.Duration(float64(time.Second) / (perSecond * load))
	for at, n := time.Duration(0), 0; at < duration; n++ {
		// Accounts arrive in a fixed order, so the first is always ahead of the
		// others.
		account := accounts[n%len(accounts)]
		id := model.RequestID(fmt.Sprintf("q%d", n))
		r := model.NewRequest(id, account, "files").WithLimit(10).WithTerms(model.Term{Field: "name", Value: "smith"})
		s.schedule(at, Arrived{r.WithDeadline(s.now.Add(at + 150*time.Millisecond))})
		accountOf[id] = account
		if len(accounts) == 1 || n%len(accounts) == len(accounts)-1 {
			at += time.Duration(float64(gap) * float64(len(accounts)) * random.ExpFloat64())
		}
	}
	s.run(duration + time.Second)
	complete := map[model.ClientAccount]int{}
	for id, a := range accountOf {
		if s.done[id][0].Outcome == model.OutcomeComplete {
			complete[a]++
		}
	}
	return complete
}

// Guards against a drop of goodput under overload, caused by work that is
// started too late to finish or by refusals while slots are free.
func TestGoodputAtTwiceCapacity(t *testing.T) {
	for _, s := range []float64{0, 0.1} {
		atCapacity := completeAnswers(t, 1, s, "acme")["acme"]
		atTwiceCapacity := completeAnswers(t, 2, s, "acme")["acme"]
		t.Logf("shed %v: %d complete answers at capacity, %d at twice the capacity", s, atCapacity, atTwiceCapacity)
		if float64(atTwiceCapacity) < 0.9*float64(atCapacity) {
			t.Errorf("shed %v: %d complete answers at twice the capacity, %d at capacity", s, atTwiceCapacity, atCapacity)
		}
	}
}

// Guards against starving an account whose requests always arrive after those
// of others.
func TestFixedArrivalOrderStarvesNoAccount(t *testing.T) {
	is := is.New(t)
	complete := completeAnswers(t, 2, 0, "acme", "beta", "zeta")
	t.Log(complete)
	total := complete["acme"] + complete["beta"] + complete["zeta"]
	for _, n := range complete {
		is.True(float64(n) > 0.9*float64(total)/3)
	}
}

// Guards against service out of proportion to the accounts' weights.
func TestAdmissionFollowsWeights(t *testing.T) {
	complete := completeAnswers(t, 2, 0, "acme", "heavy")
	t.Log(complete)
	if share := float64(complete["heavy"]) / float64(complete["acme"]); share < 2.7 || share > 3.3 {
		t.Errorf("weights 3 and 1 got %v", complete)
	}
}
