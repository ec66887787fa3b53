import { millis } from '@papayahill/common'
import { isWhole } from '@papayahill/quarantine'
import type { Quarantine } from '@papayahill/quarantine'
import { FORWARDING_EVENTS } from './events.js'
import type { ForwardContext } from './ForwardContext.js'
import type { ForwardRequest } from './types.js'

/** Endpoints and instances that one log line names. */
const MAX_NAMED = 8

/**
 * Logs that a request is refused because of a quarantine, with the evidence, and says so in a sentence for its caller.
 *
 * @example
 * const { detail } = logQuarantined(context, request, quarantine)
 */
export const logQuarantined = (
  { clock, log, quarantines }: Pick<ForwardContext, 'clock' | 'log' | 'quarantines'>,
  { attempt }: Pick<ForwardRequest, 'attempt'>,
  quarantine: Quarantine
): { readonly detail: string } => {
  const { scope, parts, crashes, lastCrashAt, endpoints, failedTrials, source } = quarantine
  log.emit(FORWARDING_EVENTS.requestQuarantined, {
    request: attempt,
    scope,
    parts: parts.join(' '),
    crashes,
    failedTrials,
    lastCrashAgeMs: millis(Math.max(0, clock.wall() - lastCrashAt)),
    endpoints: endpoints.slice(0, MAX_NAMED).join(' '),
    reporters: quarantines.reportersOf(quarantine).slice(0, MAX_NAMED).join(' '),
    source
  })
  const cause = source === 'operator' ? 'by an operator\'s order' : `${crashes} endpoints crashed on it`
  const subject = parts.some(isWhole) ? 'this request is' : `prompts with the part ${parts.join(' and ')} are`
  return { detail: `${subject} under quarantine: ${cause}; sending it again does not help` }
}
