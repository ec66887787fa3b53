import { millis } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'

const NEVER = millis(-Infinity)

/** What this instance knows of its path to one incarnation of an endpoint; times are monotonic. */
export interface Path {
  readonly endpoint: Endpoint
  /** Last time that bytes arrived or a connection opened. */
  contactAt: Millis
  /** Last time that a new connection opened. */
  openedAt: Millis
  /** Since when calls have got no byte. */
  silentSince: Millis | undefined
  /** Since when new connections fail. */
  lostAt: Millis | undefined
  /** Whether new connections get no answer, rather than a refusal: open ones are lost then, too. */
  isSilent: boolean
  /** Whether this instance was cut off from it, so that its failures since then are not the endpoint's. */
  isCut: boolean
  probedAt: Millis
  isProbing: boolean
}

/** Paths of this instance by endpoint incarnation; those of incarnations that have ended go with them. */
export class PathTable {
  readonly #paths = new WeakMap<Endpoint, Path>()

  of (endpoint: Endpoint): Path {
    const known = this.#paths.get(endpoint)
    if (known !== undefined) return known
    const path: Path = {
      endpoint,
      contactAt: NEVER,
      openedAt: NEVER,
      silentSince: undefined,
      lostAt: undefined,
      isSilent: false,
      isCut: false,
      probedAt: NEVER,
      isProbing: false
    }
    this.#paths.set(endpoint, path)
    return path
  }
}
