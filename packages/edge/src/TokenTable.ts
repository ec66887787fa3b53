import { createHash, timingSafeEqual } from 'node:crypto'
import type { IncomingMessage } from 'node:http'

const BEARER = /^Bearer +(\S+)$/i

const digestOf = (text: string): Buffer => createHash('sha256').update(text).digest()

/** The token that a request carries. */
const bearerOf = (req: IncomingMessage): string | undefined => BEARER.exec(req.headers.authorization ?? '')?.[1]

/**
 * Tokens by name. Comparison takes the same time whatever the token, since only digests are compared.
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

  /** Whether a name is held to a token at all. */
  has (name: Name): boolean {
    return this.#digests.has(name)
  }

  /** Whether the request carries the token of `name`. */
  isHolder (req: IncomingMessage, name: Name): boolean {
    const token = bearerOf(req)
    const digest = this.#digests.get(name)
    return token !== undefined && digest !== undefined && timingSafeEqual(digestOf(token), digest)
  }

  /** Whose token the request carries; looks at each one, so that the time tells nothing. */
  holderOf (req: IncomingMessage): Name | undefined {
    const token = bearerOf(req)
    if (token === undefined) return undefined
    const given = digestOf(token)
    let holder: Name | undefined
    for (const [name, digest] of this.#digests) if (timingSafeEqual(given, digest)) holder = name
    return holder
  }
}
