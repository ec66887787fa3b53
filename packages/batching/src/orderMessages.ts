import { bytes, isJsonObject, millis } from '@papayahill/common'
import type { EndpointId, Json, Millis } from '@papayahill/common'
import { callCharactersOf } from './callCharacters.js'
import type { EndpointBacklog, GroupId, OrderId, Piece, PieceFault, PieceOutcome, StageOrder } from './types.js'

/** Messages between instances about stages. Times are sent relative to now, since each instance has its own monotonic clock. */
export type StageMessage =
  | { readonly kind: 'order', readonly id: OrderId, readonly order: StageOrder }
  | { readonly kind: 'done', readonly id: OrderId, readonly outcomes: readonly PieceOutcome[] }
  /** The endpoint has read the inputs of an order's pieces. */
  | { readonly kind: 'read', readonly id: OrderId }
  | { readonly kind: 'cancel', readonly group: GroupId, readonly request: string }
  /** Asks for the queued pieces of a request back, because the sender will order them with other times or not at all. */
  | { readonly kind: 'recall', readonly group: GroupId, readonly request: string }
  | { readonly kind: 'free', readonly endpoint: EndpointId, readonly handles: readonly string[] }
  /** The sender is stopping and coordinates no more batches. */
  | { readonly kind: 'leaving' }

const FAULTS: readonly PieceFault[] = ['late', 'gone', 'room', 'failed', 'unplaced', 'moved', 'lost']

/** A handle or the index of a fault in `FAULTS`, with the index of its endpoint in the message's list. */
type PackedOutcome = readonly [string | number, number]

const packOutcomes = (outcomes: readonly PieceOutcome[]): { readonly endpoints: EndpointId[], readonly outcomes: Json } => {
  const endpoints = [...new Set(outcomes.flatMap(({ endpoint }) => endpoint ?? []))]
  const pack = (outcome: PieceOutcome): [string | number, number] => [
    'handle' in outcome ? outcome.handle : FAULTS.indexOf(outcome.fault),
    outcome.endpoint === undefined ? -1 : endpoints.indexOf(outcome.endpoint)
  ]
  return { endpoints, outcomes: outcomes.map(pack) }
}

const unpackOutcome = ([handleOrFault, endpointIndex]: PackedOutcome, endpoints: readonly EndpointId[]): PieceOutcome => {
  const endpoint = endpoints[endpointIndex]
  if (typeof handleOrFault !== 'string') return { fault: FAULTS[handleOrFault] ?? 'failed', endpoint }
  return endpoint === undefined ? { fault: 'failed', endpoint } : { handle: handleOrFault, endpoint }
}

/** Encodes the backlogs in the answer to an order. */
export const packBacklogs = (backlogs: readonly EndpointBacklog[]): Json =>
  Object.fromEntries(backlogs.map(({ endpoint, backlog }) => [endpoint, Math.round(backlog)]))

export const unpackBacklogs = (packed: Json): readonly EndpointBacklog[] => {
  if (!isJsonObject(packed)) return []
  return Object.entries(packed).map(([endpoint, backlog]) => ({ endpoint: endpoint as EndpointId, backlog: millis(Number(backlog)) }))
}

/** Encodes an order; all its pieces share their request, stage and times. */
const packOrder = ({ group, places, pieces }: StageOrder, now: Millis): Json => {
  const first = pieces[0]!
  return {
    group,
    places: Object.fromEntries(places.map(({ endpoint, cost }) => [endpoint, Math.round(cost)])),
    request: first.request,
    stage: first.stage,
    key: first.key ?? null,
    inputs: [...first.inputs],
    inputBytes: first.inputBytes,
    resultBytes: first.resultBytes,
    priority: first.priority,
    losses: first.losses,
    dueIn: first.due - now,
    endIn: first.deadline - now,
    pieces: pieces.map((piece) => piece.index)
  }
}

interface PackedOrder {
  readonly group: GroupId
  readonly places: Readonly<Record<EndpointId, number>>
  readonly request: string
  readonly stage: number
  readonly key: string | null
  readonly inputs: readonly string[]
  readonly inputBytes: number
  readonly resultBytes: number
  readonly priority: number
  /** Missing in orders of earlier versions. */
  readonly losses?: number
  readonly dueIn: number
  readonly endIn: number
  readonly pieces: readonly number[]
}

const unpackOrder = (packed: PackedOrder, now: Millis): StageOrder => {
  const listed = { request: packed.request, key: packed.key ?? undefined, inputs: packed.inputs }
  const callCharacters = callCharactersOf(listed)
  const pieceOf = (index: number): Piece => ({
    ...listed,
    callCharacters,
    stage: packed.stage,
    index,
    inputBytes: bytes(packed.inputBytes),
    resultBytes: bytes(packed.resultBytes),
    priority: packed.priority,
    losses: packed.losses ?? 0,
    due: millis(now + packed.dueIn),
    deadline: millis(now + packed.endIn),
    timeAfter: millis(0)
  })
  const places = Object.entries(packed.places).map(([endpoint, cost]) => ({ endpoint: endpoint as EndpointId, cost: millis(cost) }))
  return { group: packed.group, places, pieces: packed.pieces.map(pieceOf) }
}

/** Encodes a message. */
export const packMessage = (message: StageMessage, now: Millis): Json => {
  switch (message.kind) {
    case 'order': return { kind: 'order', id: message.id, order: packOrder(message.order, now) }
    case 'done': return { ...message, ...packOutcomes(message.outcomes) }
    case 'read':
    case 'recall':
    case 'cancel': return { ...message }
    case 'free': return { ...message, handles: [...message.handles] }
    case 'leaving': return { kind: 'leaving' }
  }
}

interface PackedDone {
  readonly kind: 'done'
  readonly id: OrderId
  readonly endpoints: readonly EndpointId[]
  readonly outcomes: readonly PackedOutcome[]
}

/** Decodes a message; undefined where this version does not know its kind. */
export const unpackMessage = (packed: Json, now: Millis): StageMessage | undefined => {
  if (!isJsonObject(packed)) return undefined
  const message = packed as unknown as Exclude<StageMessage, { kind: 'done' }> | PackedDone
  switch (message.kind) {
    case 'order': return { kind: 'order', id: message.id, order: unpackOrder(message.order as unknown as PackedOrder, now) }
    case 'done': return {
      kind: 'done', id: message.id, outcomes: message.outcomes.map((outcome) => unpackOutcome(outcome, message.endpoints))
    }
    case 'read':
    case 'recall':
    case 'cancel':
    case 'free':
    case 'leaving': return message
    default: return undefined
  }
}
