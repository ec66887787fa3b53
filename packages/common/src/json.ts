/** A value that survives JSON and msgpack unchanged. */
export type Json = string | number | boolean | null | readonly Json[] | { readonly [key: string]: Json }

export type JsonObject = { readonly [key: string]: Json }

export const isJsonObject = (value: unknown): value is JsonObject =>
  typeof value === 'object' && value !== null && !Array.isArray(value)

/** The objects in a JSON array; empty if the value is not an array. */
export const jsonObjectsOf = (value: Json | undefined): readonly JsonObject[] =>
  Array.isArray(value) ? (value as readonly Json[]).filter(isJsonObject) : []
