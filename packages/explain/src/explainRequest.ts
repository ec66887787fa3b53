import { EVIDENCE_SPAN, MAX_EVIDENCE, SILENCE_TIMEOUT } from './constants.js'
import type { LogLine, RequestOutcome, RequestExplanation } from './types.js'

/** Events that end a request, and the outcome they stand for. */
const OUTCOME_OF_EVENT: Readonly<Record<string, RequestOutcome>> = {
  requestAnswered: 'answered',
  requestRefused: 'refused',
  requestRejected: 'rejected',
  requestFailed: 'failed',
  requestCut: 'cut',
  callerGone: 'caller-gone'
}

/** Events about the state of an endpoint or an instance. */
const STATE_EVENTS: ReadonlySet<string> = new Set([
  'endpointGone', 'endpointLeaving', 'endpointLimited', 'endpointSuspected', 'endpointCold', 'endpointCrashed', 'partsQuarantined', 'quarantineLifted', 'domainOut', 'gathererSuspected', 'processStarting',
  'processStopping', 'processStopped', 'taskFailed', 'tableLost', 'tableRegained', 'configInForce', 'configMalformed'
])

/** Lines from which the cause of an outcome is derived. */
interface CauseInput {
  /** Lines of the request. */
  readonly own: readonly LogLine[]
  /** Lines of all requests and instances. */
  readonly all: readonly LogLine[]
  /** The line that ended the request, or its last line if none did. */
  readonly end: LogLine
}

type DescribeCause = (input: CauseInput) => string

const lastOf = (lines: readonly LogLine[], ...names: readonly string[]): LogLine | undefined =>
  lines.filter(({ name }) => names.includes(name)).at(-1)

const fieldText = (line: LogLine | undefined, field: string): string => String(line?.fields[field] ?? 'unknown')

/** Describes how far the request got, from the last line that shows it. */
const describeProgress = (own: readonly LogLine[]): string => {
  const done = own.filter(({ name, fields }) => name !== 'stagesEnded' || fields.outcome === 'made')
  const step = lastOf(done, 'requestPlaced', 'callEnded', 'piecesOrdered', 'stagesEnded', 'requestTaken')
  if (step === undefined) return 'it was not admitted'
  if (step.name === 'piecesOrdered') return `its stage ${fieldText(step, 'stage')} waited for a batch at ${fieldText(step, 'gatherer')}`
  if (step.name === 'requestPlaced') return `it ran at ${step.endpoint ?? 'an endpoint'}`
  if (step.name === 'callEnded') return `its call to ${step.endpoint ?? 'an endpoint'} had ended (${fieldText(step, 'outcome')})`
  if (step.name === 'stagesEnded') return 'its stages had ended'
  return 'it had just been admitted'
}

const refusalCause: DescribeCause = ({ own, all, end }) => {
  if (end.fields.cause === 'limit') return limitCause(own) ?? fieldText(end, 'detail')
  if (end.fields.cause === 'quarantine') return quarantineCause(own) ?? fieldText(end, 'detail')
  const untimely = lastOf(own, 'requestUntimely')
  if (untimely !== undefined) {
    return `it arrived with ${fieldText(untimely, 'timeLeftMs')} ms left; the forecast was ${fieldText(untimely, 'stageMs')} ms for its stages ` +
      `after a wait of ${fieldText(untimely, 'waitMs')} ms, and ${fieldText(untimely, 'answerMs')} ms for the answer`
  }
  const order = lastOf(own, 'piecesOrdered')
  if (order === undefined || end.fields.cause !== 'late-stage') return failureCause({ own, all, end }) ?? fieldText(end, 'detail')
  const sent = all.filter(({ name, instance, at }) => name === 'batchSent' && instance === fieldText(order, 'gatherer') && at <= end.at)
  return `stage ${fieldText(order, 'stage')} had waited for ${end.at - order.at} ms; ${fieldText(sent.at(-1), 'waiting')} other pieces ` +
    `were waiting at ${fieldText(order, 'gatherer')}`
}

/** Describes the limit that left no token; undefined if there was none. */
const limitCause = (own: readonly LogLine[]): string | undefined => {
  const limited = lastOf(own, 'requestLimited')
  if (limited === undefined) return undefined
  const source = fieldText(limited, 'source') === 'answer' ? 'its own answer' : 'another instance'
  return `${limited.endpoint ?? 'an endpoint'} has a limit of ${fieldText(limited, 'perSecond')} per second for all instances, as ${source} ` +
    `told ${fieldText(limited, 'ageMs')} ms before; this instance's share was ${fieldText(limited, 'ownPerSecond')}, and the next token was ` +
    `${fieldText(limited, 'availableInMs')} ms away`
}

/** Describes the quarantine that held the request; undefined if there was none. */
const quarantineCause = (own: readonly LogLine[]): string | undefined => {
  const held = lastOf(own, 'requestQuarantined')
  if (held === undefined) return undefined
  const parts = fieldText(held, 'parts').split(' ')
  // The id of a whole request begins with an equals sign.
  const subject = parts.some((part) => part.startsWith('=')) ? 'this request' : `prompts with ${parts.join(' and ')}`
  if (fieldText(held, 'source') === 'operator') return `an operator put ${subject} under quarantine`
  return `${subject} had crashed ${fieldText(held, 'crashes')} endpoints of ${fieldText(held, 'scope')} (${fieldText(held, 'endpoints')}), ` +
    `the last one ${fieldText(held, 'lastCrashAgeMs')} ms before, as ${fieldText(held, 'reporters') || 'another instance'} saw`
}

/** Describes the lost call or pieces; undefined if there were none. */
const failureCause = ({ own, end }: CauseInput): string | undefined => {
  const rerun = lastOf(own, 'piecesAgain', 'stagesAgain')
  const denied = lastOf(own, 'retryDenied')
  const budget = denied === undefined ? '' : '; the retry budget was used up'
  const call = lastOf(own, 'callEnded')
  if (call !== undefined && fieldText(call, 'outcome') !== 'answered') {
    return `${call.endpoint ?? 'an endpoint'} ${fieldText(call, 'outcome')}: ${fieldText(call, 'detail')}${budget}`
  }
  return rerun === undefined ? undefined : `${fieldText(end, 'detail')} after pieces of stage ${fieldText(rerun, 'stage')} had to be run again${budget}`
}

/** Says that a request was not sent to an endpoint because of its limit; empty if that was not so. */
const sentElsewhere = (own: readonly LogLine[]): string => {
  const limit = limitCause(own)
  return limit === undefined ? '' : `; it was sent elsewhere because ${limit}`
}

/** Says to which peers a request was handed over, and how that ended; empty if it was not. */
const detourOf = (own: readonly LogLine[]): string => {
  const offers = own.filter(({ name }) => name === 'requestHandedOver')
  const [first] = offers
  if (first === undefined) return ''
  const ends = own.filter(({ name }) => name === 'handOverEnded')
  const describeOffer = ({ fields }: LogLine, at: number): string => {
    const end = ends[at]
    const detail = end?.fields.detail === undefined ? '' : `: ${fieldText(end, 'detail')}`
    return `${String(fields.to)} (${end === undefined ? 'no end' : fieldText(end, 'outcome')}${detail})`
  }
  return `; ${first.instance} reached no endpoint of ${fieldText(first, 'service')} and handed it over to ` +
    offers.map(describeOffer).join(', then to ')
}

/** The line that ended the request for its caller: where it was handed over, that of the instance that had received it. */
const endingOf = (own: readonly LogLine[]): LogLine | undefined => {
  const origin = own.find(({ name }) => name === 'requestHandedOver')?.instance
  return own.findLast(({ name, instance }) => OUTCOME_OF_EVENT[name] !== undefined && (origin === undefined || instance === origin))
}

const CAUSES: Readonly<Record<RequestOutcome, DescribeCause>> = {
  answered: ({ own, end }) => {
    const stages = lastOf(own, 'stagesEnded')
    const call = lastOf(own, 'callEnded')
    return `it took ${fieldText(end, 'tookMs')} ms: stages ${fieldText(stages, 'tookMs')} ms, the last call ${fieldText(call, 'tookMs')} ms${sentElsewhere(own)}`
  },
  refused: refusalCause,
  rejected: ({ end }) => `${fieldText(end, 'detail')}, by configuration ${fieldText(end, 'config')}`,
  failed: (input) => quarantineCause(input.own) ?? failureCause(input) ?? fieldText(input.end, 'detail'),
  cut: (input) => failureCause(input) ?? fieldText(input.end, 'detail'),
  'caller-gone': ({ own, end }) => `the caller disconnected after ${fieldText(end, 'tookMs')} ms, while ${describeProgress(own)}`,
  'instance-ended': ({ own, end }) => `${end.instance} ended while ${describeProgress(own)}`,
  open: ({ own }) => `its end is not in these lines; ${describeProgress(own)}`
}

/** Events that show that a process was restarted or stopped. */
const RESTART_EVENTS: ReadonlySet<string> = new Set(['processStarting', 'processReady', 'processStopped'])

/**
 * Whether the instance that accepted the request ended or restarted while the request could still be open, or stopped
 * writing lines while others did not.
 */
const hasInstanceEnded = (own: readonly LogLine[], all: readonly LogLine[]): boolean => {
  const [first, last] = [own[0]!, own.at(-1)!]
  const latest = first.at + Number(first.fields.timeLeftMs ?? EVIDENCE_SPAN) + EVIDENCE_SPAN
  const after = all.filter(({ instance, at }) => instance === first.instance && at > last.at)
  const hasRestarted = after.some(({ name, at }) => RESTART_EVENTS.has(name) && at <= latest)
  return hasRestarted || (after.length === 0 && all.at(-1)!.at - last.at > SILENCE_TIMEOUT)
}

const evidenceFor = (own: readonly LogLine[], all: readonly LogLine[], end: LogLine): readonly LogLine[] => {
  const endpoints = new Set(own.flatMap(({ endpoint }) => endpoint ?? []))
  const instances = new Set(own.flatMap(({ instance, fields }) => [instance, String(fields.gatherer ?? instance)]))
  const isNear = ({ at }: LogLine): boolean => at >= own[0]!.at - EVIDENCE_SPAN && at <= end.at + EVIDENCE_SPAN
  const isRelevant = ({ name, endpoint, instance, request }: LogLine): boolean => request === undefined && STATE_EVENTS.has(name) &&
    (endpoint === undefined ? instances.has(instance) : endpoints.has(endpoint) && instances.has(instance))
  return all.filter((line) => isNear(line) && isRelevant(line)).slice(-MAX_EVIDENCE)
}

/**
 * Explains one request: how it ended, the cause as far as the lines show it, and the lines that are evidence of it.
 * Undefined if no line names the request.
 *
 * @example
 * const explanation = explainRequest(parseLines(text), '30978632c062091b')
 */
export const explainRequest = (lines: readonly LogLine[], id: string): RequestExplanation | undefined => {
  const own = lines.filter(({ request }) => request === id)
  if (own.length === 0) return undefined
  const ending = endingOf(own)
  const end = ending ?? own.at(-1)!
  const fate = ending === undefined ? (hasInstanceEnded(own, lines) ? 'instance-ended' : 'open') : OUTCOME_OF_EVENT[ending.name]!
  const cause = CAUSES[fate]({ own, all: lines, end }) + detourOf(own)
  return { id, fate, cause, lines: own, evidence: evidenceFor(own, lines, end) }
}
