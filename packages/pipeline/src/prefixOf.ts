import { isJsonObject } from '@papayahill/common'
import type { Json } from '@papayahill/common'
import type { ServiceKind } from '@papayahill/settings'

/**
 * Hash of the prompt's longest shared prefix, as the caller gives it; only engines use one.
 *
 * @example
 * prefixOf('engine', { prefix: 'guide-7', text: '...' }) // 'guide-7'
 */
export const prefixOf = (kind: ServiceKind, body: Json): string | undefined => {
  const prefix = kind === 'engine' && isJsonObject(body) ? body['prefix'] : undefined
  return typeof prefix === 'string' ? prefix : undefined
}
