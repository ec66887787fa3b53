import { bytes, isJsonObject, millis } from '@papayahill/common'
import type { EndpointId, Json, Millis, ServiceId } from '@papayahill/common'
import type { Piece, PieceFault, PieceOutcome, StageOrder } from './types.js'

/** What instances tell each other about stages. Times travel as spans, since each has its own clock. */
export type StageMessage =
  | { readonly kind: 'order', readonly id: number, readonly order: StageOrder }
  | { readonly kind: 'done', readonly id: number, readonly endpoint: EndpointId, readonly outcomes: readonly PieceOutcome[] }
  /** The endpoint has read the inputs of an order's pieces. */
  | { readonly kind: 'read', readonly id: number }
  | { readonly kind: 'cancel', readonly endpoint: EndpointId, readonly request: string }
  | { readonly kind: 'free', readonly endpoint: EndpointId, readonly handles: readonly string[] }
  /** The sender is stopping and gathers no more. */
  | { readonly kind: 'leaving' }

const FAULTS: readonly PieceFault[] = ['late', 'gone', 'room', 'failed', 'unplaced', 'moved']

const packOutcome = (outcome: PieceOutcome): Json => 'handle' in outcome ? outcome.handle : FAULTS.indexOf(outcome.fault)

const unpackOutcome = (packed: Json): PieceOutcome =>
  typeof packed === 'string' ? { handle: packed } : { fault: FAULTS[packed as number] ?? 'failed' }

/** All pieces of an order share their request, stage and times. */
const packOrder = ({ service, endpoint, pieces }: StageOrder, now: Millis): Json => {
  const first = pieces[0]!
  return {
    service,
    endpoint,
    request: first.request,
    stage: first.stage,
    key: first.key ?? null,
    inputs: [...first.inputs],
    inputBytes: first.inputBytes,
    resultBytes: first.resultBytes,
    priority: first.priority,
    dueIn: first.due - now,
    endIn: first.deadline - now,
    pieces: pieces.map((piece) => piece.index)
  }
}

interface PackedOrder {
  readonly service: ServiceId
  readonly endpoint: EndpointId
  readonly request: string
  readonly stage: number
  readonly key: string | null
  readonly inputs: readonly string[]
  readonly inputBytes: number
  readonly resultBytes: number
  readonly priority: number
  readonly dueIn: number
  readonly endIn: number
  readonly pieces: readonly number[]
}

const unpackOrder = (packed: PackedOrder, now: Millis): StageOrder => {
  const pieceOf = (index: number): Piece => ({
    request: packed.request,
    stage: packed.stage,
    index,
    key: packed.key ?? undefined,
    inputs: packed.inputs,
    inputBytes: bytes(packed.inputBytes),
    resultBytes: bytes(packed.resultBytes),
    priority: packed.priority,
    due: millis(now + packed.dueIn),
    deadline: millis(now + packed.endIn)
  })
  return { service: packed.service, endpoint: packed.endpoint, pieces: packed.pieces.map(pieceOf) }
}

/** Writes a message for a link. */
export const packMessage = (message: StageMessage, now: Millis): Json => {
  switch (message.kind) {
    case 'order': return { kind: 'order', id: message.id, order: packOrder(message.order, now) }
    case 'done': return { ...message, outcomes: message.outcomes.map(packOutcome) }
    case 'read':
    case 'cancel': return { ...message }
    case 'free': return { ...message, handles: [...message.handles] }
    case 'leaving': return { kind: 'leaving' }
  }
}

/** Reads a message; undefined where it is none that this version knows. */
export const unpackMessage = (packed: Json, now: Millis): StageMessage | undefined => {
  if (!isJsonObject(packed)) return undefined
  const message = packed as unknown as StageMessage & { readonly order: PackedOrder, readonly outcomes: readonly Json[] }
  switch (message.kind) {
    case 'order': return { kind: 'order', id: message.id, order: unpackOrder(message.order, now) }
    case 'done': return { ...message, outcomes: message.outcomes.map(unpackOutcome) }
    case 'read':
    case 'cancel':
    case 'free':
    case 'leaving': return message
    default: return undefined
  }
}
