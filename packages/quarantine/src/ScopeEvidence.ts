import { epochMillis } from '@papayahill/common'
import type { EndpointId, EpochMillis, InstanceId, Millis } from '@papayahill/common'
import { EVIDENCE_TTL, MAX_REMEMBERED_CRASHES, MAX_REPORTED_REQUESTS } from './constants.js'
import { judgeCrashes } from './judgeCrashes.js'
import type { CrashEvidence, Finding, PartHistory } from './judgeCrashes.js'
import type { PartId, ReceivedReport, RequestParts, ScopeId } from './types.js'

interface RecordedCrash extends CrashEvidence {
  readonly endpoint: EndpointId
  at: EpochMillis
  /** Requests as each instance reported them. */
  readonly reports: Map<InstanceId, readonly RequestParts[]>
}

/**
 * The crashes of one scope as all instances saw them, and what they say about parts.
 *
 * @example
 * evidence.record({ report, reporter, learnedAt })
 * evidence.judge(history, now) // findings
 */
export class ScopeEvidence {
  readonly scope: ScopeId
  readonly #crashes = new Map<string, RecordedCrash>()
  #suspects: ReadonlyMap<PartId, number> = new Map()

  constructor (scope: ScopeId) {
    this.scope = scope
  }

  /** Crashes that each part may have caused, as of the last judgement. */
  get suspects (): ReadonlyMap<PartId, number> {
    return this.#suspects
  }

  /** Instances that reported a crash with these parts. */
  reportersOf (parts: RequestParts): readonly InstanceId[] {
    const hasParts = ([, requests]: readonly [InstanceId, readonly RequestParts[]]): boolean =>
      requests.some((request) => parts.every((part) => request.includes(part)))
    const reporters = [...this.#crashes.values()].flatMap(({ reports }) => [...reports].filter(hasParts).map(([reporter]) => reporter))
    return [...new Set(reporters)]
  }

  /** The requests, of these, that no other instance has told of with the same parts; undefined if there is nothing to tell. */
  untold (incarnation: string, self: InstanceId, requests: readonly RequestParts[]): readonly RequestParts[] | undefined {
    const others = [...this.#crashes.get(incarnation)?.reports ?? []].filter(([reporter]) => reporter !== self)
    const told = new Set(others.flatMap(([, reported]) => reported.map((parts) => parts.join(' '))))
    const own = requests.filter((parts) => !told.has(parts.join(' ')))
    return own.length === 0 && others.length > 0 ? undefined : own
  }

  /** Records a report, beside what its reporter told of the crash before; false if it tells nothing new. */
  record ({ report, reporter, learnedAt }: ReceivedReport): boolean {
    const known = this.#crashes.get(report.incarnation)
    const before = known?.reports.get(reporter)
    const told = new Set(before?.map((parts) => parts.join(' ')))
    const news = report.requests.filter((parts) => !told.has(parts.join(' ')))
    if (before !== undefined && news.length === 0) return false
    const crash = known ?? newCrash(report, learnedAt)
    crash.reports.set(reporter, [...before ?? [], ...news].slice(-MAX_REPORTED_REQUESTS))
    crash.at = epochMillis(Math.min(crash.at, report.at))
    this.#crashes.set(report.incarnation, crash)
    this.#forgetOldest()
    return true
  }

  /** Number of crashes in which the part was lost, as far as it was reported, without that of one incarnation. */
  crashesWith (part: PartId, except?: string): number {
    const others = [...this.#crashes].filter(([incarnation]) => incarnation !== except)
    return others.filter(([, { requests }]) => requests.some((parts) => parts.includes(part))).length
  }

  /** The part has caused none of the crashes so far. */
  clear (part: PartId): void {
    for (const { reports } of this.#crashes.values()) {
      for (const [reporter, requests] of reports) reports.set(reporter, requests.map((parts) => parts.filter((other) => other !== part)))
    }
  }

  /** Drops the crashes that the parts explain, which an operator has judged otherwise. */
  forget (parts: RequestParts): void {
    for (const [key, { requests }] of this.#crashes) {
      if (requests.some((request) => parts.every((part) => request.includes(part)))) this.#crashes.delete(key)
    }
  }

  /** Judges the crashes that are not too old. */
  judge (history: PartHistory, now: Millis): readonly Finding[] {
    for (const [key, { learnedAt }] of this.#crashes) if (now - learnedAt >= EVIDENCE_TTL) this.#crashes.delete(key)
    const { findings, suspects } = judgeCrashes([...this.#crashes.values()], history)
    this.#suspects = suspects
    return findings
  }

  #forgetOldest (): void {
    const [oldest] = this.#crashes.keys()
    if (this.#crashes.size > MAX_REMEMBERED_CRASHES && oldest !== undefined) this.#crashes.delete(oldest)
  }
}

const newCrash = ({ endpoint, at }: ReceivedReport['report'], learnedAt: Millis): RecordedCrash => {
  const reports = new Map<InstanceId, readonly RequestParts[]>()
  return { endpoint, at, learnedAt, reports, get requests () { return [...reports.values()].flat() } }
}
