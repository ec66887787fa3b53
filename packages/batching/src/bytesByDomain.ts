import type { DomainId } from '@papayahill/common'
import type { EndpointDirectory } from '@papayahill/directory'
import type { StageResult } from './types.js'

/**
 * Sums the bytes of results in each failure domain; leaves out results at endpoints that are no longer known.
 *
 * @example
 * bytesByDomain(directory, inputs).get(domain)
 */
export const bytesByDomain = (
  directory: Pick<EndpointDirectory, 'get'>, results: readonly StageResult[]
): ReadonlyMap<DomainId, number> => {
  const sizes = new Map<DomainId, number>()
  for (const { endpoint, resultBytes } of results) {
    const domain = directory.get(endpoint)?.domain
    if (domain !== undefined) sizes.set(domain, (sizes.get(domain) ?? 0) + resultBytes)
  }
  return sizes
}
