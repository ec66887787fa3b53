import { brand, epochMillis } from '@papayahill/common'
import type { EpochMillis, JsonObject, OperatorName, ServiceId } from '@papayahill/common'
import { partIdOf, scopeIdOf } from '@papayahill/quarantine'
import type { QuarantineOrder } from '@papayahill/quarantine'
import { Result } from 'true-myth'

const ACTIONS: ReadonlySet<unknown> = new Set(['lift', 'pin'])

/** Decodes an order to lift or pin a quarantine; the error is a message for the operator. */
export const readQuarantineOrder = (
  { action, service, version, parts }: JsonObject, by: OperatorName, now: EpochMillis
): Result<QuarantineOrder, string> => {
  if (!ACTIONS.has(action)) return Result.err('the action must be lift or pin')
  if (typeof service !== 'string' || typeof version !== 'string') return Result.err('a quarantine needs service and version')
  const isNamed = Array.isArray(parts) && parts.length > 0 && parts.every((part) => typeof part === 'string' && part !== '')
  if (!isNamed) return Result.err('a quarantine needs its parts, as a list of texts')
  return Result.ok({
    action: action as QuarantineOrder['action'],
    scope: scopeIdOf(brand<ServiceId>(service), version),
    parts: parts.map((part) => partIdOf(String(part))),
    by,
    at: epochMillis(now)
  })
}
