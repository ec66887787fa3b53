import { brand } from '@papayahill/common'
import type {
  BodyDigest, ClassId, EpochMillis, Failure, IdempotencyKey, Incarnation, InstanceId, Json, RequestId, ServiceId, WorkspaceId
} from '@papayahill/common'
import type { Row, RowKey } from '@papayahill/stores'
import { z } from 'zod'
import { MAX_WALL_CLOCK_SKEW, MAX_RELEASE_TIME } from './constants.js'
import type { ClaimOutcome, ClaimRequest, ClaimStatus } from './types.js'

/** Identifies one attempt to run a request within its owner's incarnation. */
export type AttemptId = string

/** `released`: nothing was sent, and the key is free again. */
export type ClaimState = ClaimStatus['state'] | 'released'

/** The claim on a key, as stored. */
export interface ClaimRecord {
  readonly workspace: WorkspaceId
  readonly key: IdempotencyKey
  readonly class: ClassId
  readonly service: ServiceId
  readonly digest: BodyDigest
  readonly request: RequestId
  readonly state: ClaimState
  readonly owner: InstanceId
  readonly ownerIncarnation: Incarnation
  readonly attempt: AttemptId
  /** When the claim was made or released, by its owner's wall clock. */
  readonly at: EpochMillis
  readonly outcome?: ClaimOutcome
}

/** A claim with the version of its row; version 0 and no record if there is no claim. */
export interface ClaimRow {
  readonly key: RowKey
  readonly version: number
  readonly record: ClaimRecord | undefined
}

const branded = <Branded extends string>(): z.ZodType<Branded> => z.string() as unknown as z.ZodType<Branded>

const outcomeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('answered'), body: z.custom<Json>((value) => value !== undefined) }),
  z.object({ kind: z.literal('failed'), failure: z.custom<Failure>((value) => typeof value === 'object' && value !== null) })
])

const recordSchema = z.object({
  workspace: branded<WorkspaceId>(),
  key: branded<IdempotencyKey>(),
  class: branded<ClassId>(),
  service: branded<ServiceId>(),
  digest: branded<BodyDigest>(),
  request: branded<RequestId>(),
  state: z.enum(['claimed', 'released', 'answered', 'failed', 'unknown']),
  owner: branded<InstanceId>(),
  ownerIncarnation: branded<Incarnation>(),
  attempt: z.string(),
  at: z.number() as unknown as z.ZodType<EpochMillis>,
  outcome: outcomeSchema.optional()
})

export const claimKey = (workspace: WorkspaceId, key: IdempotencyKey): RowKey => brand<RowKey>(`claim/${workspace}/${key}`)

/** Key of the row that lists a claim with unknown outcome for operators. */
export const unknownKey = (workspace: WorkspaceId, key: IdempotencyKey): RowKey => brand<RowKey>(`claim-unknown/${workspace}/${key}`)

export const decodeClaim = (value: Json | undefined): ClaimRecord | undefined => {
  const parsed = recordSchema.safeParse(value)
  return parsed.success ? parsed.data : undefined
}

export const encodeClaim = (record: ClaimRecord): Json => JSON.parse(JSON.stringify(record)) as Json

export const readClaimRow = (row: Row): ClaimRow => ({ key: row.key, version: row.version, record: decodeClaim(row.value) })

export interface ClaimOwner {
  readonly owner: InstanceId
  readonly ownerIncarnation: Incarnation
}

export const newClaim = (
  request: ClaimRequest, owner: ClaimOwner, attempt: AttemptId, at: EpochMillis
): ClaimRecord => ({
  workspace: request.workspace,
  key: request.key,
  class: request.class,
  service: request.service,
  digest: request.digest,
  request: request.request,
  state: 'claimed',
  ...owner,
  attempt,
  at
})

export const withOutcome = (record: ClaimRecord, outcome: ClaimOutcome): ClaimRecord =>
  ({ ...record, state: outcome.kind, outcome })

/**
 * Whether a request that arrived at `arrivedAt` certainly arrived after the release was reported, so that
 * claiming the key again does not make an earlier "not run" false.
 */
export const isReleasedBefore = (record: ClaimRecord, arrivedAt: EpochMillis, incarnation: Incarnation): boolean => {
  const skew = record.ownerIncarnation === incarnation ? 0 : MAX_WALL_CLOCK_SKEW
  return arrivedAt - record.at >= MAX_RELEASE_TIME + skew
}

/** Whether the claim has a final outcome, which is replayed to every later caller. */
export const isSettled = (record: ClaimRecord): boolean => record.state === 'answered' || record.state === 'failed'

export const statusOf = (record: ClaimRecord): ClaimStatus => ({
  workspace: record.workspace,
  key: record.key,
  class: record.class,
  service: record.service,
  state: record.state === 'released' ? 'claimed' : record.state,
  owner: record.owner,
  ownerIncarnation: record.ownerIncarnation
})
