import { createHash, timingSafeEqual } from 'node:crypto'
import type { IncomingMessage } from 'node:http'

const BEARER = /^Bearer +(\S+)$/i

const digestOf = (text: string): Buffer => createHash('sha256').update(text).digest()

/** The bearer token of a request. */
const bearerTokenOf = (req: IncomingMessage): string | undefined => BEARER.exec(req.headers.authorization ?? '')?.[1]

/**
 * Tokens by name. Comparison takes constant time, since only digests are compared.
 *
 * @example
 * const tokens = new TokenTable(secrets.operators)
 * tokens.holderOf(req) // 'ana'
 */
export class TokenTable<Name extends string> {
  readonly #digests: ReadonlyMap<Name, Buffer>

  constructor (tokens: ReadonlyMap<Name, string>) {
    this.#digests = new Map([...tokens].map(([name, token]) => [name, digestOf(token)]))
  }

  /** Whether a token is required for a name. */
  has (name: Name): boolean {
    return this.#digests.has(name)
  }

  /** Whether the request carries the token of `name`. */
  isHolder (req: IncomingMessage, name: Name): boolean {
    const token = bearerTokenOf(req)
    const digest = this.#digests.get(name)
    return token !== undefined && digest !== undefined && timingSafeEqual(digestOf(token), digest)
  }

  /** Name whose token the request carries; compares all tokens, so that the time reveals nothing. */
  holderOf (req: IncomingMessage): Name | undefined {
    const token = bearerTokenOf(req)
    if (token === undefined) return undefined
    const requestDigest = digestOf(token)
    let holder: Name | undefined
    for (const [name, digest] of this.#digests) if (timingSafeEqual(requestDigest, digest)) holder = name
    return holder
  }
}
