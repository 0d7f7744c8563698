package adminapi

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"unicode"
)

// encoding writes messages as maps.
type encoding struct {
	name   func(reflect.StructField) (name string, omitEmpty bool)
	number func(float64) any
}

// wireEncoding has the names of the json tags, and numbers as structpb takes them.
var wireEncoding = encoding{name: wireName, number: func(n float64) any { return n }}

// descriptiveEncoding has the names of the Go fields, as commands print them, and a text for a number that JSON does not have.
var descriptiveEncoding = encoding{
	name: func(f reflect.StructField) (string, bool) { return snakeCase(f.Name), false },
	number: func(n float64) any {
		if math.IsInf(n, 0) || math.IsNaN(n) {
			return fmt.Sprint(n)
		}
		return n
	},
}

// Describe returns the fields of a message for people and scripts: under the names of the Go fields in snake case.
func Describe(message any) map[string]any { return descriptiveEncoding.message(message) }

// encode returns the fields of a message for the wire. A list that is nil is an empty one; a pointer that is nil is left out.
func encode(message any) map[string]any { return wireEncoding.message(message) }

func (e encoding) message(message any) map[string]any {
	fields := map[string]any{}
	e.structFields(reflect.ValueOf(message), fields)
	return fields
}

func (e encoding) structFields(v reflect.Value, fields map[string]any) {
	for k := range v.NumField() {
		f, value := v.Type().Field(k), v.Field(k)
		if value.Kind() == reflect.Pointer {
			if value.IsNil() {
				continue
			}
			value = value.Elem()
		}
		if f.Anonymous {
			e.structFields(value, fields)
			continue
		}
		name, omitEmpty := e.name(f)
		if omitEmpty && v.Field(k).IsZero() {
			continue
		}
		fields[name] = e.value(value)
	}
}

func (e encoding) value(v reflect.Value) any {
	switch v.Kind() {
	case reflect.Struct:
		fields := map[string]any{}
		e.structFields(v, fields)
		return fields
	case reflect.Slice:
		list := make([]any, v.Len())
		for k := range list {
			list[k] = e.value(v.Index(k))
		}
		return list
	case reflect.Bool:
		return v.Bool()
	case reflect.String:
		return v.String()
	case reflect.Int:
		return float64(v.Int())
	case reflect.Uint32, reflect.Uint64:
		return float64(v.Uint())
	case reflect.Float64:
		return e.number(v.Float())
	}
	panic(fmt.Sprintf("adminapi: a message has a field of type %v", v.Type())) // of this package's types alone
}

// snakeCase returns a Go name in snake case; a run of capitals is one word, as in WorkMS.
func snakeCase(name string) string {
	var b strings.Builder
	for k, c := range name {
		if unicode.IsUpper(c) && k > 0 && unicode.IsLower(rune(name[k-1])) {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(c))
	}
	return b.String()
}

// decode sets the fields of a message that are there. A field that is missing or null keeps its zero value, as tools and controllers of
// two versions may meet; one of another type is an error that names it.
func decode(fields map[string]any, message any) error {
	return decodeStruct(fields, reflect.ValueOf(message).Elem())
}

func decodeStruct(fields map[string]any, v reflect.Value) error {
	for k := range v.NumField() {
		f, value := v.Type().Field(k), v.Field(k)
		if f.Anonymous {
			if err := decodeStruct(fields, target(value)); err != nil {
				return err
			}
			continue
		}
		name, _ := wireName(f)
		x := fields[name]
		if x == nil {
			continue
		}
		if err := decodeValue(x, target(value)); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// target returns what a field holds, allocated if it is behind a pointer.
func target(v reflect.Value) reflect.Value {
	if v.Kind() != reflect.Pointer {
		return v
	}
	v.Set(reflect.New(v.Type().Elem()))
	return v.Elem()
}

func decodeValue(x any, v reflect.Value) error {
	switch x := x.(type) {
	case bool:
		if v.Kind() == reflect.Bool {
			v.SetBool(x)
			return nil
		}
	case string:
		if v.Kind() == reflect.String {
			v.SetString(x)
			return nil
		}
		if n, ok := notFinite[x]; ok && v.Kind() == reflect.Float64 {
			v.SetFloat(n)
			return nil
		}
	case float64:
		return decodeNumber(x, v)
	case []any:
		if v.Kind() == reflect.Slice {
			return decodeList(x, v)
		}
	case map[string]any:
		if v.Kind() == reflect.Struct {
			return decodeStruct(x, v)
		}
	}
	return fmt.Errorf("%v is no %v", x, v.Type())
}

// notFinite has the texts that structpb gives for numbers which JSON does not have.
var notFinite = map[string]float64{"Infinity": math.Inf(1), "-Infinity": math.Inf(-1), "NaN": math.NaN()}

func decodeNumber(x float64, v reflect.Value) error {
	switch v.Kind() {
	case reflect.Float64:
		v.SetFloat(x)
	case reflect.Int:
		v.SetInt(int64(x))
	case reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(x))
	default:
		return fmt.Errorf("%v is no %v", x, v.Type())
	}
	return nil
}

func decodeList(x []any, v reflect.Value) error {
	list := reflect.MakeSlice(v.Type(), len(x), len(x))
	for k := range x {
		if err := decodeValue(x[k], list.Index(k)); err != nil {
			return err
		}
	}
	v.Set(list)
	return nil
}

// wireName returns the name of a field on the wire.
func wireName(f reflect.StructField) (name string, omitEmpty bool) {
	name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name, options == "omitempty"
}
