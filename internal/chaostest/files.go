package chaostest

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"liftshift/internal/testservers"
)

// maxSeeds is how many controllers are listed as seeds in the cluster block.
const maxSeeds = 3

// nodeConfig returns the content of the settings file (node.json) of a controller.
func (cl *Cluster) nodeConfig(index int) ([]byte, error) {
	c := cl.Controllers[index]
	text := testservers.NodeConfig(c.ClientAddress, cl.discovery.Address, cl.Config.declaredDedupWindow(), cl.Executors...)
	if slices.Contains(cl.Config.SecondAddressUsers, index) {
		for _, executor := range cl.Executors {
			text = []byte(strings.ReplaceAll(string(text), `"`+executor.Address()+`"`, `"`+executor.SecondAddress()+`"`))
		}
	}
	node := map[string]any{}
	if err := json.Unmarshal(text, &node); err != nil {
		return nil, err
	}
	node["name"] = c.Name
	settings := node["settings"].(map[string]any)
	settings["Siblings"], settings["SlotNo"] = cl.Config.Controllers, index
	return json.Marshal(node)
}

// operatorConfig returns the content of the operator file of a controller. It uses the deprecated names of blocks and
// keys, which the previous release reads as well, so that clusters of mixed versions can be tested.
func (cl *Cluster) operatorConfig(index int) string {
	config, c := &cl.Config, cl.Controllers[index]
	var hcl strings.Builder
	fmt.Fprintf(&hcl, "control { socket = %q }\n", c.ControlSocket)
	if !config.WithoutCluster {
		cl.writeClusterBlock(&hcl, index)
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

func (cl *Cluster) writeClusterBlock(hcl *strings.Builder, index int) {
	seeds := make([]string, 0, maxSeeds)
	for k := range min(maxSeeds, cl.Config.Controllers) {
		seeds = append(seeds, cl.Relay.AdvertiseAddress(k))
	}
	fmt.Fprintf(hcl, "fleet {\n  name = \"rehearsal\"\n  address = %q\n  listen = %q\n  zone = %q\n  seeds = %s\n  %s\n",
		cl.Relay.AdvertiseAddress(index), cl.Relay.ListenAddress(index), cl.ZoneOf(index), hclList(seeds),
		cl.Config.ClusterSettings)
	if cl.Config.Founders > 0 {
		var founders []string
		for k := range cl.Config.Founders {
			founders = append(founders, fmt.Sprint("c", k))
		}
		fmt.Fprintf(hcl, "  founders = %s\n", hclList(founders))
	}
	hcl.WriteString("}\n")
}

// hclList returns a list of strings in HCL syntax.
func hclList(texts []string) string {
	list, _ := json.Marshal(texts)
	return string(list)
}
