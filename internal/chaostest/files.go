package chaostest

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"liftshift/internal/testservers"
)

// maxSeeds is how many controllers a controller knows at its start.
const maxSeeds = 3

// nodeConfig returns the settings file of a controller.
func (cl *Cluster) nodeConfig(k int) ([]byte, error) {
	c := cl.Controllers[k]
	text := testservers.NodeConfig(c.ClientAddress, cl.discovery.Address, cl.Config.dedupWindow(), cl.Executors...)
	if slices.Contains(cl.Config.SecondAddressUsers, k) {
		for _, e := range cl.Executors {
			text = []byte(strings.ReplaceAll(string(text), `"`+e.Address()+`"`, `"`+e.SecondAddress()+`"`))
		}
	}
	node := map[string]any{}
	if err := json.Unmarshal(text, &node); err != nil {
		return nil, err
	}
	node["name"] = c.Name
	settings := node["settings"].(map[string]any)
	settings["Siblings"], settings["SlotNo"] = cl.Config.Controllers, k
	return json.Marshal(node)
}

// operatorConfig returns the operators' file of a controller. Its blocks and keys have the names that programs of the version before read,
// too.
func (cl *Cluster) operatorConfig(k int) string {
	config, c := &cl.Config, cl.Controllers[k]
	var hcl strings.Builder
	fmt.Fprintf(&hcl, "control { socket = %q }\n", c.ControlSocket)
	if !config.WithoutCluster {
		cl.writeClusterBlock(&hcl, k)
	}
	if config.HandoffSettings != "" {
		fmt.Fprintf(&hcl, "estate {\n%s\n}\n", config.HandoffSettings)
	}
	if config.LocalitySettings != "" {
		fmt.Fprintf(&hcl, "zones {\n%s\n}\n", config.LocalitySettings)
	}
	if config.Store {
		fmt.Fprintf(&hcl, "store {\n  directory = %q\n  segment = \"256KiB\"\n}\n", c.storeDirectory())
	}
	return hcl.String()
}

func (cl *Cluster) writeClusterBlock(hcl *strings.Builder, k int) {
	seeds := make([]string, 0, maxSeeds)
	for s := range min(maxSeeds, cl.Config.Controllers) {
		seeds = append(seeds, cl.Relay.AdvertiseAddress(s))
	}
	fmt.Fprintf(hcl, "fleet {\n  name = \"rehearsal\"\n  address = %q\n  listen = %q\n  zone = %q\n  seeds = %s\n  %s\n",
		cl.Relay.AdvertiseAddress(k), cl.Relay.ListenAddress(k), cl.ZoneOf(k), quotedList(seeds), cl.Config.ClusterSettings)
	if cl.Config.Founders > 0 {
		var founders []string
		for n := range cl.Config.Founders {
			founders = append(founders, fmt.Sprint("c", n))
		}
		fmt.Fprintf(hcl, "  founders = %s\n", quotedList(founders))
	}
	hcl.WriteString("}\n")
}

// quotedList returns a list of texts as HCL has it.
func quotedList(texts []string) string {
	list, _ := json.Marshal(texts)
	return string(list)
}
