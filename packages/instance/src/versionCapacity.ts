import type { ServiceId, VersionId } from '@papayahill/common'
import type { EndpointPool } from '@papayahill/endpoints'
import type { VersionCapacity } from '@papayahill/rollout'

/** Concurrent calls that this instance may run now at the endpoints of one version. */
export const versionCapacity = (pool: EndpointPool) => (service: ServiceId, version: VersionId): VersionCapacity => {
  const endpoints = pool.snapshot().filter(({ endpoint }) => endpoint.service === service && endpoint.version === version)
  return { slots: endpoints.reduce((sum, { limit }) => sum + limit, 0) }
}
