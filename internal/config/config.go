// Package config reads the node's configuration: the environment and the JSON file that GW_CONFIG names. It checks all values
// and sets the defaults. Error messages name the faulty key.
package config

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"slices"
	"strconv"

	"github.com/tidwall/gjson"

	"lichenhitch/balance"
	"lichenhitch/internal/discovery"
	"lichenhitch/internal/settings"
)

// Defaults and limits of optional keys.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minSockets      = 64
)

// Config is the configuration of the node.
type Config struct {
	Name        string
	Listen      string
	Management  string // address of the operator API; "" for none
	Discovery   string
	Seed        uint64
	MemoryMB    int // the node is killed above this
	Sockets     int // limit of open file descriptors
	Known       *discovery.List
	Settings    balance.Settings
	RawSettings []byte // the settings as written in the file
	Keys        Keys   // the keys that the file contains
	SiteFile    string // path of the site file; "" if the node belongs to no site
	SharedDir   string // directory of the state shared by the processes of one node
}

// Load reads the configuration at the start. The environment takes precedence over the file. getenv is os.Getenv, except in
// tests.
func Load(getenv func(string) string) (Config, error) { return read(getenv, false) }

// Reload reads the configuration again for a running node. The environment still has its values from the start, so a value that
// a running node can adopt is taken from the file if the file has it. A key that the file had before must not be missing from
// it now.
func Reload(getenv func(string) string, before Config) (Config, error) {
	c, err := read(getenv, true)
	if err == nil {
		err = checkMissing(before.Keys, c.Keys, "")
	}
	return c, err
}

func read(getenv func(string) string, reload bool) (Config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return Config{}, errors.New("GW_CONFIG: not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("GW_CONFIG: %w", err)
	}
	if !gjson.ValidBytes(raw) {
		return Config{}, fmt.Errorf("GW_CONFIG: %s: not valid JSON", path)
	}
	root := gjson.ParseBytes(raw)
	if !root.IsObject() {
		return Config{}, fmt.Errorf("GW_CONFIG: %s: not an object", path)
	}
	c := Config{Keys: keysOf(root), MemoryMB: defaultMemoryMB, Sockets: defaultSockets}
	c.SharedDir = firstNonEmpty(getenv("TMPDIR"), os.TempDir())
	c.Name = firstNonEmpty(getenv("GW_NAME"), root.Get("name").String())
	c.SiteFile = getenv("GW_SITE")
	if c.Listen, err = parseAddress(root, "listen", getenv, "GW_LISTEN"); err != nil {
		return c, err
	}
	if getenv("GW_MANAGEMENT") != "" || root.Get("management").Exists() {
		if c.Management, err = parseAddress(root, "management", getenv, "GW_MANAGEMENT"); err != nil {
			return c, err
		}
	}
	discoveryEnv := getenv
	if reload && root.Get("discovery").Exists() {
		discoveryEnv = func(string) string { return "" }
	}
	if c.Discovery, err = parseAddress(root, "discovery", discoveryEnv, "GW_DISCOVERY"); err != nil {
		return c, err
	}
	if c.Seed, err = parseSeed(root.Get("seed")); err != nil {
		return c, err
	}
	if c.MemoryMB, err = parseLimit(root, "limits.memory_mb", c.MemoryMB, 1); err != nil {
		return c, err
	}
	if c.Sockets, err = parseLimit(root, "limits.sockets", c.Sockets, minSockets); err != nil {
		return c, err
	}
	if known := root.Get("known"); known.Exists() && known.Type != gjson.Null {
		list, err := discovery.ParseList([]byte(known.Raw))
		if err != nil {
			return c, fmt.Errorf("known.%w", err)
		}
		c.Known = &list
	}
	set := root.Get("settings")
	if !set.IsObject() {
		return c, errors.New("settings: missing, or not an object")
	}
	c.RawSettings = []byte(set.Raw)
	if c.Settings, err = settings.Decode(c.RawSettings); err != nil {
		return c, fmt.Errorf("settings.%w", err)
	}
	if err = settings.Check(c.Settings); err != nil {
		return c, fmt.Errorf("settings.%w", err)
	}
	if err = settings.CheckComplete(c.RawSettings); err != nil {
		return c, fmt.Errorf("settings.%w", err)
	}
	return c, nil
}

// RestartKeys returns the keys whose values differ from an earlier configuration and take effect only after a restart, sorted.
func (c Config) RestartKeys(before Config) []string {
	var keys []string
	for key, unchanged := range map[string]bool{
		"name": c.Name == before.Name, "listen": c.Listen == before.Listen,
		"management":       c.Management == before.Management,
		"limits.memory_mb": c.MemoryMB == before.MemoryMB, "limits.sockets": c.Sockets == before.Sockets,
		"settings.extra.mode": c.Settings.PassThrough == before.Settings.PassThrough,
	} {
		if !unchanged {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func parseAddress(root gjson.Result, key string, getenv func(string) string, variable string) (string, error) {
	value, name := getenv(variable), variable
	if value == "" {
		value, name = root.Get(key).String(), key
	}
	if value == "" {
		return "", fmt.Errorf("%s: missing, and %s is not set", key, variable)
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return "", fmt.Errorf("%s: %q is not an address and a port", name, value)
	}
	return value, nil
}

// parseSeed reads a seed written in hexadecimal digits.
func parseSeed(v gjson.Result) (uint64, error) {
	if !v.Exists() {
		return 0, errors.New("seed: missing")
	}
	n, err := strconv.ParseUint(v.String(), 16, 64)
	if err != nil {
		return 0, fmt.Errorf("seed: %.40q is not a number in hexadecimal digits", v.String())
	}
	return n, nil
}

func parseLimit(root gjson.Result, key string, defaultValue, minimum int) (int, error) {
	v := root.Get(key)
	if !v.Exists() || v.Type == gjson.Null {
		return defaultValue, nil
	}
	if v.Type != gjson.Number || v.Num < float64(minimum) || v.Num > math.MaxInt32 {
		return 0, fmt.Errorf("%s: %.40s is not a number of at least %d", key, v.Raw, minimum)
	}
	return int(v.Num), nil
}
