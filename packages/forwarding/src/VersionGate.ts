import type { Endpoint, ServingRoute } from '@papayahill/directory'
import type { CallEnd } from './types.js'

/** Says which versions of a service may take a request, and hears how they did. */
export interface VersionGate {
  /** The endpoints among which this request chooses. */
  admit (service: Endpoint['service'], endpoints: readonly Endpoint[]): readonly Endpoint[]
  ended (endpoint: Endpoint, route: ServingRoute, end: CallEnd, took: number): void
}

/** All versions are alike. */
export const OPEN_GATE: VersionGate = { admit: (_service, endpoints) => endpoints, ended: () => {} }
