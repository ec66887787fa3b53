import type { Json } from '@papayahill/common'

/** The value of a JSON text; null where it is none. */
export const parseJson = (text: string): Json => {
  try {
    return JSON.parse(text) as Json
  } catch {
    return null
  }
}
