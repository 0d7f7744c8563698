package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/BurntSushi/toml"
)

// balancerPaths are the lists of paths in the deployment's file.
type balancerPaths struct {
	Policy []string `toml:"policy"`
	Node   []string `toml:"node"`
}

// checkBalancer finds paths that the deployment's file names and that do not exist.
func checkBalancer(root string, _ *Source) ([]string, error) {
	paths := balancerPaths{}
	if _, err := toml.DecodeFile(filepath.Join(root, balancerFile), &paths); err != nil {
		return nil, fmt.Errorf("%s: %w", balancerFile, err)
	}
	findings := missingPaths(root, "policy", paths.Policy)
	return append(findings, missingPaths(root, "node", paths.Node)...), nil
}

// missingPaths reports what is missing of one list; a list without paths is reported, too.
func missingPaths(root, list string, paths []string) []string {
	if len(paths) == 0 {
		return []string{fmt.Sprintf("%s: %s lists nothing", balancerFile, list)}
	}
	findings := []string{}
	for _, path := range paths {
		if _, err := os.Stat(filepath.Join(root, path)); err != nil {
			findings = append(findings, fmt.Sprintf("%s: %s names %s: %v", balancerFile, list, path, err))
		}
	}
	return findings
}
