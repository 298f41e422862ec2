package class

import (
	"strconv"
	"strings"
)

func itoa(num int32) string { return strconv.Itoa(int(num)) }

func setOf(words string) map[string]bool {
	out := make(map[string]bool)
	for _, word := range strings.Fields(words) {
		out[word] = true
	}
	return out
}

// sessionLocks lists the functions that take or release locks held by the
// server session.
var sessionLocks = setOf(`
pg_advisory_lock pg_advisory_lock_shared pg_try_advisory_lock
pg_try_advisory_lock_shared pg_advisory_unlock pg_advisory_unlock_shared
pg_advisory_unlock_all`)

// readOnlyFunctions lists the built-in functions that change no data.
var readOnlyFunctions = setOf(`
count sum avg min max bool_and bool_or every string_agg array_agg json_agg
jsonb_agg json_object_agg jsonb_object_agg stddev variance corr
percentile_cont percentile_disc mode rank dense_rank row_number ntile lag lead
first_value last_value nth_value cume_dist percent_rank
abs ceil ceiling floor round trunc sign sqrt power exp ln log mod div greatest
least pi degrees radians sin cos tan asin acos atan atan2 random
length char_length character_length octet_length bit_length lower upper initcap
btrim ltrim rtrim trim substr substring left right lpad rpad replace reverse
repeat split_part position strpos concat concat_ws format translate ascii chr
md5 sha256 encode decode to_hex quote_literal quote_ident quote_nullable
regexp_replace regexp_match regexp_matches regexp_split_to_array
regexp_split_to_table starts_with overlay like ilike similar_escape like_escape
coalesce nullif array_length array_position array_to_string string_to_array
array_append array_prepend array_cat array_remove cardinality unnest
generate_series generate_subscripts array_upper array_lower
now current_timestamp current_date current_time localtime localtimestamp
clock_timestamp statement_timestamp transaction_timestamp timeofday date_part
date_trunc extract age to_char to_date to_timestamp to_number make_date
make_time make_timestamp make_interval justify_days justify_hours overlaps
isfinite timezone
json_build_object jsonb_build_object json_build_array jsonb_build_array to_json
to_jsonb row_to_json json_extract_path json_extract_path_text
jsonb_extract_path jsonb_extract_path_text json_array_elements
jsonb_array_elements json_array_elements_text jsonb_array_elements_text
json_each jsonb_each json_each_text jsonb_each_text json_object_keys
jsonb_object_keys json_typeof jsonb_typeof json_array_length
jsonb_array_length jsonb_set jsonb_pretty jsonb_path_query jsonb_path_exists
version current_database current_schema current_schemas current_user
session_user current_setting pg_typeof pg_sleep pg_is_in_recovery
pg_get_expr pg_get_userbyid pg_table_is_visible pg_get_indexdef
pg_get_constraintdef pg_get_viewdef format_type obj_description
col_description has_table_privilege has_schema_privilege pg_encoding_to_char
pg_relation_size pg_total_relation_size pg_size_pretty to_regclass
pg_get_serial_sequence pg_type_is_visible pg_function_is_visible
to_tsvector to_tsquery plainto_tsquery ts_rank uuid_extract_timestamp
hashtext isnull`)
