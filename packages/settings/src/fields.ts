import { isIP } from 'node:net'
import { microUnits } from '@papayahill/common'
import type { Brand, MicroUnits, Millis } from '@papayahill/common'
import { z } from 'zod'
import { MICRO_UNITS_PER_UNIT } from './constants.js'
import { parseDuration } from './duration.js'
import type { ListenAddress } from './types.js'

const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/
const NAME_ALLOWED = 'a name of 1 to 63 letters, digits, ".", "_" or "-", beginning with a letter or digit'
const PORT_MAX = 65_535

/** A table with exactly these keys; the error message lists them. */
export const table = <Shape extends z.core.$ZodShape>(shape: Shape) => {
  const keys = Object.keys(shape).join(', ')
  return z.strictObject(shape, {
    error: (issue) => issue.code === 'unrecognized_keys' ? `one of the keys ${keys}` : `a table with the keys ${keys}`
  })
}

export const list = <Item extends z.ZodType>(item: Item) => z.array(item, { error: 'a list' })

/** A name with the branded type of what it identifies. */
export const name = <Id extends Brand<string, string>>() =>
  z.string({ error: NAME_ALLOWED }).regex(NAME, { error: NAME_ALLOWED }).transform((text) => text as unknown as Id)

export const oneOf = <const Values extends readonly [string, ...string[]]>(values: Values) =>
  z.enum(values, { error: `one of ${values.join(', ')}` })

export const flag = () => z.boolean({ error: 'true or false' })

const DURATION_ALLOWED = 'a duration above 0 such as "800ms", "1.5s", "5min" or "1h"'

export const duration = () => z.string({ error: DURATION_ALLOWED }).transform((text, context): Millis => {
  const span = parseDuration(text)
  if (span !== undefined && span > 0) return span
  context.addIssue({ code: 'custom', message: DURATION_ALLOWED })
  return z.NEVER
})

const MONEY_ALLOWED = 'an amount of the deployment\'s currency, 0 or more, such as 0.25'

/** Money in units of the currency, converted to whole micro-units. */
export const money = () => z.number({ error: MONEY_ALLOWED }).min(0, { error: MONEY_ALLOWED })
  .transform((amount): MicroUnits => microUnits(Math.round(amount * MICRO_UNITS_PER_UNIT)))

export const wholeNumber = (min: number, max: number) => {
  const error = `a whole number from ${min} to ${max}`
  return z.int({ error }).min(min, { error }).max(max, { error })
}

const SHARE_ALLOWED = 'a share above 0 and at most 1, such as 0.95'

export const share = () => z.number({ error: SHARE_ALLOWED }).gt(0, { error: SHARE_ALLOWED }).max(1, { error: SHARE_ALLOWED })

const ADDRESS_ALLOWED = 'an IP address and a port, such as "127.0.0.1:8080" or "[::1]:8080"; no host names'

const splitAddress = (text: string): ListenAddress | undefined => {
  const at = text.lastIndexOf(':')
  const ip = text.slice(0, at).replace(/^\[(.*)\]$/, '$1')
  const portText = text.slice(at + 1)
  const port = Number(portText)
  const isPort = /^\d+$/.test(portText) && port <= PORT_MAX
  return at > 0 && isIP(ip) !== 0 && isPort ? { ip, port } : undefined
}

export const address = () => z.string({ error: ADDRESS_ALLOWED }).transform((text, context): ListenAddress => {
  const found = splitAddress(text)
  if (found !== undefined) return found
  context.addIssue({ code: 'custom', message: ADDRESS_ALLOWED })
  return z.NEVER
})

const URL_ALLOWED = 'an http or https URL whose host is an IP address, such as "http://127.0.0.1:9000"'

const isIpUrl = (text: string): boolean => {
  if (!URL.canParse(text)) return false
  const url = new URL(text)
  const host = url.hostname.replace(/^\[(.*)\]$/, '$1')
  return /^https?:$/.test(url.protocol) && isIP(host) !== 0
}

export const ipUrl = () => z.string({ error: URL_ALLOWED })
  .refine(isIpUrl, { error: URL_ALLOWED })
  .transform((text) => text.replace(/\/$/, ''))
