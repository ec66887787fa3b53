/** A value that survives JSON and msgpack unchanged. */
export type Json = string | number | boolean | null | readonly Json[] | { readonly [key: string]: Json }

export type JsonObject = { readonly [key: string]: Json }

export const isJsonObject = (value: unknown): value is JsonObject =>
  typeof value === 'object' && value !== null && !Array.isArray(value)
