import type { Millis } from '@papayahill/common'

/** Parts of an instance whose cost is worked out on its own. */
export type Role =
  | 'edge' | 'scheduler' | 'slots' | 'peers' | 'roster' | 'configuration' | 'claims' | 'moves' | 'cost' | 'metrics' | 'pipeline'

/** How large a deployment is. */
export interface FleetSize {
  readonly instances: number
  readonly endpoints: number
  readonly workspaces: number
}

/** What one instance of a fleet used, on average. */
export interface InstanceUse {
  /** Share of one core, by role and in sum. */
  readonly cpuByRole: Readonly<Partial<Record<Role, number>>>
  readonly cpuShare: number
  readonly heapBytes: number
  /** Bytes a second that the instance sends to its peers, by topic and in sum. */
  readonly bytesByTopic: Readonly<Record<string, number>>
  readonly bytesPerSecond: number
  readonly storeReadsPerSecond: number
  readonly storeWritesPerSecond: number
  readonly span: Millis
}
