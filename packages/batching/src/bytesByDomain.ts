import type { DomainId } from '@papayahill/common'
import type { EndpointDirectory } from '@papayahill/directory'
import type { StageResult } from './types.js'

/**
 * Bytes of results in each failure domain; those of makers that are not known any more are left out.
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
