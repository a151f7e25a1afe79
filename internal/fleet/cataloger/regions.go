package cataloger

import (
	"fmt"
	"slices"
)

// Distance is how far two places are apart.
type Distance int

// Distances, in rising order.
const (
	// SameDomain is within one failure domain, OtherDomain between two of one region, or of unknown
	// regions, OtherRegion between regions.
	SameDomain Distance = iota
	OtherDomain
	OtherRegion
	// Distances is the number of them.
	Distances
)

// DistanceOf returns how far two failure domains are apart. regions holds the region of each; domains that
// are not named share one.
func DistanceOf(regions map[string]string, x, y string) Distance {
	switch {
	case x == y:
		return SameDomain
	case regions[x] == regions[y]:
		return OtherDomain
	default:
		return OtherRegion
	}
}

// AllowedRegions returns the only regions in which a request of a route and a workspace may be served;
// bound is false if it may be served in all. Where both name regions, both bind: none may be left.
func AllowedRegions(r Route, w Workspace) (regions []string, bound bool) {
	if len(r.Regions) == 0 {
		return w.Regions, len(w.Regions) > 0
	}
	if len(w.Regions) == 0 {
		return r.Regions, true
	}
	for _, region := range r.Regions {
		if slices.Contains(w.Regions, region) {
			regions = append(regions, region)
		}
	}
	return regions, true
}

// IsWithin reports whether what is in a region may serve a request for which some regions are allowed, none
// for all. What is in an unknown region, "", serves no request that is bound to regions.
func IsWithin(region string, allowed []string) bool {
	return len(allowed) == 0 || region != "" && slices.Contains(allowed, region)
}

// checkRegions returns the findings about the regions of the part of a configuration at path.
func checkRegions(path string, regions []string) (findings []error) {
	for i, region := range regions {
		if region == "" {
			findings = append(findings, fmt.Errorf("%s/regions/%d: is empty", path, i))
		}
	}
	return findings
}
