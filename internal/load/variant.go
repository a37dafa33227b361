package load

import (
	"encoding/json"
	"maps"
	"slices"

	"toucanpulley.example/internal/wire"
)

// Variant is a named set of settings for the root of the settings tree.
type Variant struct {
	Name   string
	Values map[string]string
}

// plainValues are the settings of plain scatter-gather, with every optional mechanism off.
var plainValues = map[string]string{
	"hedge": `"off"`, "canary": `"off"`, "adaptiveLimit": `"off"`, "preferOwnDomain": `"off"`,
	"retryBudgetPermille": "0", "cutOff": `"full"`, "restartBudget": "0",
}

// Variants returns plain scatter-gather, and then variants that each add one
// mechanism to the previous variant.
func Variants() []Variant {
	added := []Variant{
		{"plain", nil},
		{"+own domain", map[string]string{"preferOwnDomain": `"on"`}},
		{"+limits", map[string]string{"adaptiveLimit": `"on"`}},
		{"+retries", map[string]string{"retryBudgetPermille": "100", "restartBudget": "1"}},
		{"+hedging", map[string]string{"hedge": `"on"`}},
		{"+canary", map[string]string{"canary": `"unseen"`}},
		{"+early cut-off", map[string]string{"cutOff": `"early"`}},
	}
	values := maps.Clone(plainValues)
	variants := make([]Variant, 0, len(added))
	for _, v := range added {
		maps.Copy(values, v.Values)
		variants = append(variants, Variant{v.Name, maps.Clone(values)})
	}
	return variants
}

// LimitVariants returns variants that differ in how entry hosts share the slots of
// searchers: independent adaptive limits on 7 hosts, and services that run on 4, 2 or
// 1 hosts.
func LimitVariants() []Variant {
	return []Variant{
		{"independent", map[string]string{"subset": "7", "spare": "0"}},
		{"4 hosts", map[string]string{"subset": "4", "spare": "2"}},
		{"2 hosts", map[string]string{"subset": "2", "spare": "2"}},
		{"1 host", map[string]string{"subset": "1", "spare": "2"}},
	}
}

// WithVariant returns the shape with the settings of a variant set on the root.
func (s Shape) WithVariant(v Variant) Shape {
	root := wire.NodeDocument{Path: "/", Values: map[string]json.RawMessage{}}
	nodes := slices.Clone(s.Settings)
	i := slices.IndexFunc(nodes, func(n wire.NodeDocument) bool { return n.Path == "/" })
	if i >= 0 {
		maps.Copy(root.Values, nodes[i].Values)
		nodes = slices.Delete(nodes, i, i+1)
	}
	for k, x := range v.Values {
		root.Values[k] = json.RawMessage(x)
	}
	s.Settings = append(nodes, root)
	return s
}
