import { brand, millis } from '@papayahill/common'
import type { DomainId, Json, Millis, ServiceId } from '@papayahill/common'
import { MAX_REPORTER_ENTRIES } from './constants.js'
import type { ServiceLoad } from './types.js'

/** Figures of one entry; `begun` and `refused` count since the sender's start, so that a lost or repeated report does no harm. */
export type LoadFigures = Omit<ServiceLoad, 'service' | 'domain'>

/** Load of one service and failure domain; its names are sent until the receiver has confirmed them. */
export interface LoadEntry extends LoadFigures {
  /** Number of the service and failure domain at the sender's incarnation. */
  readonly index: number
  readonly names: { readonly service: ServiceId, readonly domain: DomainId } | undefined
}

export interface LoadReport {
  /** Time since the sender's start. */
  readonly elapsed: Millis
  /** Entries that have changed. */
  readonly entries: readonly LoadEntry[]
}

const encodeEntry = ({ index, running, waiting, begun, refused, holdTime, names }: LoadEntry): Json => [
  index, running, waiting, begun, refused, Math.round(holdTime), ...(names === undefined ? [] : [names.service, names.domain])
]

export const encodeLoadReport = ({ elapsed, entries }: LoadReport): Json => [Math.round(elapsed), ...entries.map(encodeEntry)]

const isCount = (value: Json | undefined): value is number => typeof value === 'number' && Number.isFinite(value) && value >= 0

const decodeEntry = (entry: Json): LoadEntry | undefined => {
  if (!Array.isArray(entry)) return undefined
  const [index, running, waiting, begun, refused, holdTime, service, domain] = entry as readonly Json[]
  const isValid = isCount(index) && index < MAX_REPORTER_ENTRIES && isCount(running) && isCount(waiting) && isCount(begun) &&
    isCount(refused) && isCount(holdTime)
  if (!isValid) return undefined
  const hasNames = typeof service === 'string' && typeof domain === 'string'
  const names = hasNames ? { service: brand<ServiceId>(service), domain: brand<DomainId>(domain) } : undefined
  return { index, running, waiting, begun, refused, holdTime: millis(holdTime), names }
}

/** Decodes a report; undefined if it is malformed. */
export const decodeLoadReport = (body: Json): LoadReport | undefined => {
  if (!Array.isArray(body)) return undefined
  const [elapsed, ...encoded] = body as readonly Json[]
  const entries = encoded.map(decodeEntry).filter((entry) => entry !== undefined)
  if (!isCount(elapsed) || entries.length !== encoded.length) return undefined
  return { elapsed: millis(elapsed), entries }
}
