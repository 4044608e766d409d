package agatesettings

import (
	"flag"
	"reflect"
	"strings"
	"time"
)

// envPrefix is the prefix of the environment variables of settings.
const envPrefix = "AGATEGATE_"

// Settings is the type constraint for the kinds of settings.
type Settings interface {
	Entry | Control | AdapterSettings
}

// Key describes one key of the settings.
type Key struct {
	Name    string
	Type    string
	Default string
	Unit    string
	Help    string
	// Required is set if the key has no default and must be set.
	Required bool
	// Reloadable is set if a change takes effect without a restart.
	Reloadable bool

	index []int
	tag   reflect.StructTag
}

// Env returns the name of the environment variable, such as
// AGATEGATE_LOG_LEVEL.
func (k Key) Env() string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(k.Name, ".", "_"))
}

// Keys returns the keys of a kind of settings in struct order, read from the
// struct tags.
func Keys[T Settings]() []Key {
	return keysOf(reflect.TypeFor[T](), "", nil)
}

func keysOf(t reflect.Type, prefix string, index []int) []Key {
	var keys []Key
	for i := range t.NumField() {
		f := t.Field(i)
		name := prefix + f.Tag.Get("toml")
		at := append(index[:len(index):len(index)], i)
		if f.Type.Kind() == reflect.Struct && f.Type.PkgPath() == t.PkgPath() {
			// A struct of this package is a table of keys.
			keys = append(keys, keysOf(f.Type, name+".", at)...)
			continue
		}
		keys = append(keys, Key{
			Name:       name,
			Type:       typeName(f.Type),
			Default:    f.Tag.Get("default"),
			Unit:       f.Tag.Get("unit"),
			Help:       f.Tag.Get("help"),
			Required:   f.Tag.Get("need") == "yes",
			Reloadable: f.Tag.Get("reload") == "yes",
			index:      at,
			tag:        f.Tag,
		})
	}
	return keys
}

func typeName(t reflect.Type) string {
	switch {
	case t.Kind() == reflect.Slice:
		return "list of " + typeName(t.Elem())
	case t == reflect.TypeFor[time.Duration]():
		return "duration"
	case t.PkgPath() == "net/netip":
		return "address"
	case t == reflect.TypeFor[Member]():
		return "name=address"
	case t.Kind() == reflect.Float64:
		return "number"
	case t.Kind() == reflect.Int:
		return "integer"
	case t.Kind() == reflect.Bool:
		return "boolean"
	}
	return "string"
}

// Flags holds the values of the flags that were given.
type Flags struct {
	values map[string]string
}

// Register defines one flag for each key of a kind of settings.
func Register[T Settings](fs *flag.FlagSet) *Flags {
	f := &Flags{values: make(map[string]string)}
	for _, k := range Keys[T]() {
		help := k.Help
		if k.Default != "" {
			help += " (default " + k.Default + ")"
		}
		set := func(text string) error {
			f.values[k.Name] = text
			return nil
		}
		if k.Type == "boolean" {
			fs.BoolFunc(k.Name, help, set)
			continue
		}
		fs.Func(k.Name, help, set)
	}
	return f
}

// Values returns the text of each given flag, by key.
func (f *Flags) Values() map[string]string { return f.values }

// ChangedKeys returns the keys whose values differ between old and updated: applied
// lists those that take effect without a restart, restart the others.
func ChangedKeys[T Settings](old, updated T) (applied, restart []string) {
	a, b := reflect.ValueOf(old), reflect.ValueOf(updated)
	for _, k := range Keys[T]() {
		x, y := a.FieldByIndex(k.index).Interface(), b.FieldByIndex(k.index).Interface()
		switch {
		case reflect.DeepEqual(x, y):
		case k.Reloadable:
			applied = append(applied, k.Name)
		default:
			restart = append(restart, k.Name)
		}
	}
	return applied, restart
}

// Merge returns old with the values of updated for the keys that take effect
// without a restart.
func Merge[T Settings](old, updated T) T {
	merged := old
	from, to := reflect.ValueOf(updated), reflect.ValueOf(&merged).Elem()
	for _, k := range Keys[T]() {
		if k.Reloadable {
			to.FieldByIndex(k.index).Set(from.FieldByIndex(k.index))
		}
	}
	return merged
}
