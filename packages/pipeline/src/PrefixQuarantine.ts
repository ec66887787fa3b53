import type { EndpointId, EndpointIncarnation, ServiceId, VersionId } from '@papayahill/common'
import { partIdOf, scopeIdOf } from '@papayahill/quarantine'
import type { Quarantine, QuarantineManager, RequestCheck } from '@papayahill/quarantine'

/** Where a call went. */
export interface CalledEndpoint {
  readonly service: ServiceId
  readonly version: VersionId
  readonly endpoint: EndpointId
  readonly incarnation: EndpointIncarnation
}

/**
 * Tells the quarantines which engine calls were lost and which answers began, by the prefix of their prompts.
 *
 * @example
 * const check = prefixes.check(prefix)
 * const { versions, quarantine } = check.allowed(service, versions)
 */
export class PrefixQuarantine {
  readonly #quarantines: QuarantineManager

  constructor (quarantines: QuarantineManager) {
    this.#quarantines = quarantines
  }

  /** The standing of a request with this prefix; without one, no quarantine holds it. */
  check (prefix: string | undefined): PrefixCheck {
    return new PrefixCheck(this.#quarantines, prefix)
  }
}

/** Versions that a request may be sent to. */
export interface AllowedVersions {
  readonly versions: readonly VersionId[]
  /** Why none is left; undefined if one is, or if there was none before. */
  readonly quarantine: Quarantine | undefined
}

/** One request's standing, asked again before each call. */
export class PrefixCheck {
  readonly #quarantines: QuarantineManager
  readonly #check: RequestCheck
  #crashes = 0

  constructor (quarantines: QuarantineManager, prefix: string | undefined) {
    this.#quarantines = quarantines
    this.#check = quarantines.check(prefix === undefined ? [] : [partIdOf(prefix)])
  }

  /** Endpoints that the request may have crashed. */
  get crashes (): number {
    return this.#crashes
  }

  /** Of the versions, those without a quarantine for the request. */
  allowed (service: ServiceId, versions: readonly VersionId[]): AllowedVersions {
    let quarantine: Quarantine | undefined
    const left = versions.filter((version) => {
      const found = this.#check.find(scopeIdOf(service, version))
      quarantine ??= found
      return found === undefined
    })
    return { versions: left, quarantine: left.length === 0 ? quarantine : undefined }
  }

  callSent (): void {
    this.#check.noteSent()
  }

  answerBegan ({ service, version }: CalledEndpoint): void {
    this.#quarantines.noteBegun(scopeIdOf(service, version), this.#check.parts)
  }

  /** The call's connection was lost before its answer began. */
  callLost ({ service, version, endpoint, incarnation }: CalledEndpoint): void {
    if (this.#check.parts.length === 0) return
    this.#crashes++
    this.#quarantines.noteLost({ scope: scopeIdOf(service, version), endpoint, incarnation }, this.#check.parts)
  }
}

/**
 * Says in a sentence why a request is refused.
 *
 * @example
 * refusal('quarantined', quarantineDetail(quarantine))
 */
export const quarantineDetail = ({ parts, crashes }: Quarantine): string =>
  `prompts with the prefix ${parts.join(' and ')} are under quarantine: ${crashes} endpoints crashed on it; sending it again does not help`
