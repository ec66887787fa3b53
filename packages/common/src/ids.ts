import { brand } from './Brand.js'
import type { Brand } from './Brand.js'

/** An instance, by the name in its settings. */
export type InstanceId = Brand<string, 'InstanceId'>
/** One incarnation of an instance; each restart gets a new one, which compares greater. */
export type Incarnation = Brand<string, 'Incarnation'>
/** An endpoint, by its name in the platform's instance list. */
export type EndpointId = Brand<string, 'EndpointId'>
/** One incarnation of an endpoint, as reported by the endpoint itself. */
export type EndpointIncarnation = Brand<string, 'EndpointIncarnation'>
export type ServiceId = Brand<string, 'ServiceId'>
export type VersionId = Brand<string, 'VersionId'>
export type PipelineId = Brand<string, 'PipelineId'>
export type StageId = Brand<string, 'StageId'>
export type ClassId = Brand<string, 'ClassId'>
export type WorkspaceId = Brand<string, 'WorkspaceId'>
export type DomainId = Brand<string, 'DomainId'>
export type RegionId = Brand<string, 'RegionId'>
export type RequestId = Brand<string, 'RequestId'>
export type IdempotencyKey = Brand<string, 'IdempotencyKey'>
/** Hash of a request body, to detect that a key is reused for a different request. */
export type BodyDigest = Brand<string, 'BodyDigest'>
/** An operator or program, by its name in the operators' token file. */
export type OperatorName = Brand<string, 'OperatorName'>

/**
 * The idempotency key sent to services, prefixed so that the keys of different workspaces never collide.
 *
 * @example
 * serviceKey(brand<WorkspaceId>('norte'), brand<IdempotencyKey>('order-7')) // 'norte/order-7'
 */
export const serviceKey = (workspace: WorkspaceId, key: IdempotencyKey): IdempotencyKey =>
  brand<IdempotencyKey>(`${workspace}/${key}`)

/** The caller's own key, from the key sent to services. */
export const callerKey = (workspace: WorkspaceId, key: IdempotencyKey): IdempotencyKey =>
  key.startsWith(`${workspace}/`) ? brand<IdempotencyKey>(key.slice(workspace.length + 1)) : key

/** Identifies one stage call. Endpoints echo it, and an answer with another id is dropped. */
export interface CallId {
  readonly request: RequestId
  readonly stage: StageId
  readonly attempt: number
}

/**
 * Formats a call id as a header-safe string.
 *
 * @example
 * formatCallId({ request, stage, attempt: 1 }) // 'r-81/generate/1'
 */
export const formatCallId = (call: CallId): string => `${call.request}/${call.stage}/${call.attempt}`

/** Whether two ids identify the same call. */
export const isSameCall = (left: CallId, right: CallId): boolean =>
  left.request === right.request && left.stage === right.stage && left.attempt === right.attempt
