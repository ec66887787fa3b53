import { createHash } from 'node:crypto'
import type { ForwardRequest } from './types.js'

/** Characters of a fingerprint; 12 of base64 are 72 bits. */
const FINGERPRINT_LENGTH = 12

/**
 * Identifies a request that comes again: its caller, method, path with query, and body. The hash is cryptographic, so that nobody
 * can make up a request that is taken for another caller's.
 *
 * @example
 * fingerprintOf(request) // 'q1Lr0cVh2xk9'
 */
export const fingerprintOf = ({ workspace, method, path, body }: Pick<ForwardRequest, 'workspace' | 'method' | 'path' | 'body'>): string => {
  const hash = createHash('sha256').update(JSON.stringify([workspace ?? null, method, path]))
  return hash.update(body ?? '').digest('base64url').slice(0, FINGERPRINT_LENGTH)
}
