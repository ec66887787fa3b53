import { epochMillis, millis } from '@papayahill/common'
import type { Clock, EventLog, InstanceId, Millis, Random } from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import { LRUCache } from 'lru-cache'
import { BegunParts } from './BegunParts.js'
import { FIRST_LAPSE, MAX_SCOPES, MIN_CRASHES, MIN_ISOLATED_CRASHES } from './constants.js'
import { CrashDetector } from './CrashDetector.js'
import type { LostCalls } from './CrashDetector.js'
import { QUARANTINE_EVENTS } from './events.js'
import type { Finding, PartHistory } from './judgeCrashes.js'
import { QuarantineAnnouncer } from './QuarantineAnnouncer.js'
import { QuarantineGossip } from './QuarantineGossip.js'
import type { BegunNotice, QuarantineMessage } from './quarantineMessages.js'
import { isWhole } from './partIdOf.js'
import { keyOf, QuarantineTable } from './QuarantineTable.js'
import { RequestCheck } from './RequestCheck.js'
import { ScopeEvidence } from './ScopeEvidence.js'
import { UntoldLosses } from './UntoldLosses.js'
import type { RequestLoss } from './UntoldLosses.js'
import type { CrashReport, PartId, Quarantine, QuarantineOrder, RequestParts, ScopedIncarnation, ScopeId } from './types.js'

/** Suspected parts and endpoints that one log line names. */
const MAX_LOGGED = 8
/** Endpoints that a quarantine names. */
const MAX_NAMED_ENDPOINTS = 8

export interface QuarantineManagerOptions {
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  readonly peers: Pick<Peers, 'self' | 'publish' | 'onEntry'>
  /** All instances that may make a trial, this one included. */
  readonly instances: () => readonly InstanceId[]
}

/**
 * Finds the parts of requests that crash endpoints, together with all other instances, and tells which requests must not be
 * sent. Each instance judges by itself what all of them report, so that none depends on another.
 *
 * @example
 * quarantines.noteLost(incarnation, parts)
 * quarantines.confirmCrash(incarnation.incarnation)
 * quarantines.check(parts).find(scope) // a quarantine, once the evidence suffices
 */
export class QuarantineManager {
  readonly #options: QuarantineManagerOptions
  readonly #begun = new BegunParts()
  readonly #detector = new CrashDetector()
  readonly #untold = new UntoldLosses()
  readonly #evidence = new LRUCache<ScopeId, ScopeEvidence>({ max: MAX_SCOPES })
  readonly #table = new QuarantineTable()
  readonly #gossip: QuarantineGossip
  readonly #announcer: QuarantineAnnouncer
  readonly #listeners: Array<() => void> = []
  /** When operators last lifted each set of parts; later evidence counts again. */
  readonly #lifted = new LRUCache<string, number>({ max: MAX_SCOPES })

  constructor (options: QuarantineManagerOptions) {
    this.#options = options
    this.#gossip = new QuarantineGossip(options.peers, {
      receive: (message, from) => this.#receive(message, from),
      receiveMalformed: (from) => options.log.emit(QUARANTINE_EVENTS.quarantineMalformed, { from })
    })
    const { clock, random, peers: { self }, instances } = options
    this.#announcer = new QuarantineAnnouncer({ clock, random, self, instances, gossip: this.#gossip })
  }

  /** Number of quarantines. */
  get size (): number {
    return this.#table.size
  }

  /** Number of suspected parts. */
  get suspectCount (): number {
    return [...this.#evidence.values()].reduce((sum, { suspects }) => sum + suspects.size, 0)
  }

  /** All quarantines, for operators. */
  list (): readonly Quarantine[] {
    return this.#table.all()
  }

  /** Calls the listener when a quarantine has begun. */
  onQuarantine (listener: () => void): void {
    this.#listeners.push(listener)
  }

  /** The standing of a request with these parts; `wholeOf` identifies it among requests that come again. */
  check (parts: RequestParts, wholeOf?: () => PartId): RequestCheck {
    return new RequestCheck({
      isEmpty: () => this.#table.size === 0,
      find: (scope, of) => this.#find(scope, of),
      takeTrial: (quarantine) => this.#takeTrial(quarantine)
    }, parts, wholeOf)
  }

  /** Crashes of other incarnations in which the part was lost. */
  crashesWith ({ scope, incarnation }: ScopedIncarnation, part: PartId): number {
    return this.#evidence.get(scope)?.crashesWith(part, incarnation) ?? 0
  }

  #find (scope: ScopeId, parts: RequestParts): Quarantine | undefined {
    const known = this.#table.find(scope, parts)
    if (known !== undefined) return known
    const elsewhere = this.#table.findElsewhere(scope, parts)
    if (elsewhere === undefined || elsewhere.parts.some((part) => this.#begun.has(scope, part))) return undefined
    const carriedOver: Quarantine = { ...elsewhere, scope, failedTrials: 0, source: elsewhere.source === 'operator' ? 'operator' : 'other-version' }
    this.#table.put(carriedOver)
    return carriedOver
  }

  /** The part of the request that is suspected of most crashes; requests with the same one should share an endpoint. */
  suspectIn (scope: ScopeId, parts: RequestParts): PartId | undefined {
    const evidence = this.#evidence.get(scope)
    if (evidence === undefined || evidence.suspects.size === 0) return undefined
    let worst: PartId | undefined
    let most = 0
    for (const part of parts) {
      const crashes = evidence.suspects.get(part) ?? 0
      if (crashes <= most || (isWhole(part) && crashes < MIN_ISOLATED_CRASHES)) continue
      worst = part
      most = crashes
    }
    return worst
  }

  /** The answer to a whole request has ended, so that it does not crash what runs it. */
  noteEnded (scope: ScopeId, whole: PartId): void {
    this.noteBegun(scope, [whole])
  }

  /** An answer has begun: none of its parts crashes what runs it. */
  noteBegun (scope: ScopeId, parts: RequestParts): void {
    this.#begun.addScope(scope)
    const cleared = parts.filter((part) => this.#isBlamed(scope, part))
    for (const part of parts) this.#begun.add(scope, part)
    if (cleared.length === 0) return
    const evidence = this.#evidenceOf(scope)
    const news = cleared.filter((part) => this.#isNearBlame(evidence, part))
    this.#clear(evidence, cleared, 'an answer at this instance')
    if (news.length > 0) this.#announcer.begun({ scope, parts: news })
  }

  /** A whole request was lost that may be a bystander; others are told once it was lost with two incarnations. */
  noteLostWhole (whole: PartId, loss: RequestLoss): void {
    const earlier = this.#untold.take(whole, loss.incarnation)
    const isSuspected = earlier !== undefined || this.crashesWith(loss.incarnation, whole) > 0
    if (!isSuspected) return this.#untold.note(whole, loss)
    if (earlier !== undefined) this.noteLost(earlier.incarnation, earlier.suspects)
    this.noteLost(loss.incarnation, loss.suspects)
  }

  /** A call was lost with its connection; `parts` are what is suspected for it. */
  noteLost (incarnation: ScopedIncarnation, parts: RequestParts): void {
    if (parts.length === 0) return
    const lost = this.#detector.noteLoss(incarnation, parts, this.#options.clock.now())
    if (lost !== undefined) this.#report(lost)
  }

  /** The incarnation has ended: it refuses connections, or was replaced without a notice. */
  confirmCrash (incarnation: string): void {
    const lost = this.#detector.confirm(incarnation, this.#options.clock.now())
    if (lost !== undefined) this.#report(lost)
  }

  /** The incarnation answered a call that was sent at this monotonic time: it did not crash with calls that were lost before. */
  dismissCrash (incarnation: string, sentAt: Millis): void {
    this.#detector.dismiss(incarnation, sentAt)
  }

  /** Applies an operator's order here and at all other instances. */
  order (order: QuarantineOrder): void {
    this.#applyOrder(order)
    this.#gossip.publish(keyOf(order), { kind: 'order', order })
  }

  /** Instances whose reports are the evidence of a quarantine. */
  reportersOf ({ scope, parts }: Pick<Quarantine, 'scope' | 'parts'>): readonly InstanceId[] {
    return this.#evidence.get(scope)?.reportersOf(parts) ?? []
  }

  #isBlamed (scope: ScopeId, part: PartId): boolean {
    return this.#evidence.get(scope)?.suspects.has(part) === true || this.#isQuarantined(scope, part)
  }

  /** Whether the part is under quarantine here, or in another version and not yet known to be sound here. */
  #isQuarantined (scope: ScopeId, part: PartId): boolean {
    if (this.#table.size === 0) return false
    return this.#table.withPart(scope, part).length > 0 || (!this.#begun.has(scope, part) && this.#table.isKnownElsewhere(scope, part))
  }

  /** Whether one more crash may put the part under quarantine, or it is there: only then must others know better. */
  #isNearBlame ({ scope, suspects }: ScopeEvidence, part: PartId): boolean {
    return (suspects.get(part) ?? 0) >= MIN_CRASHES - 1 || this.#table.withPart(scope, part).length > 0 ||
      this.#table.isKnownElsewhere(scope, part)
  }

  /** Crashes of a version on which no answer has begun yet are put down to the version, not to parts. */
  #report ({ incarnation, since, requests }: LostCalls): void {
    const { clock, peers } = this.#options
    const { scope } = incarnation
    if (!this.#begun.hasAny(scope)) return
    const suspected = requests.map((parts) => parts.filter((part) => !this.#begun.has(scope, part)))
    const age = millis(clock.now() - since)
    const report: CrashReport = {
      ...incarnation, at: epochMillis(clock.wall() - age), age, requests: suspected.filter((parts) => parts.length > 0)
    }
    this.#record(report, peers.self)
    this.#publishLater(report)
  }

  /** Tells the others what they have not told each other until then. */
  #publishLater (report: CrashReport): void {
    const { scope, incarnation } = report
    this.#announcer.crashLater(incarnation, () => {
      const own = this.#detector.requestsOf(incarnation) ?? report.requests
      const blamed = own.map((parts) => parts.filter((part) => !this.#begun.has(scope, part))).filter((parts) => parts.length > 0)
      const requests = this.#evidenceOf(scope).untold(incarnation, this.#options.peers.self, blamed)
      return requests === undefined ? undefined : { ...report, requests }
    })
  }

  #receive (message: QuarantineMessage, from: InstanceId): void {
    switch (message.kind) {
      case 'crash': return this.#receiveReport(message.report, from)
      case 'begun': return this.#receiveBegun(message.notice, from)
      case 'quarantine': return this.#receiveQuarantine(message.quarantine)
      case 'order': return this.#applyOrder(message.order)
    }
  }

  #receiveReport (report: CrashReport, from: InstanceId): void {
    this.#record(report, from)
    this.confirmCrash(report.incarnation)
    this.#tellLossesOf(report)
    const evidence = this.#evidenceOf(report.scope)
    const innocent = [...new Set(report.requests.flat())].filter((part) => this.#begun.has(report.scope, part))
    const endangered = innocent.filter((part) => evidence.crashesWith(part) >= MIN_CRASHES - 1)
    if (endangered.length > 0) this.#announcer.begunLater(report.scope, endangered)
  }

  /** Another instance suspects requests that were lost here with another incarnation. */
  #tellLossesOf (report: CrashReport): void {
    for (const whole of report.requests.flat().filter(isWhole)) {
      const own = this.#untold.take(whole, report)
      if (own !== undefined) this.noteLost(own.incarnation, own.suspects)
    }
  }

  #record (report: CrashReport, reporter: InstanceId): void {
    const evidence = this.#evidenceOf(report.scope)
    if (!evidence.record({ report, reporter, learnedAt: millis(this.#options.clock.now() - report.age) })) return
    this.#judge(evidence)
    const { scope, endpoint, incarnation, requests } = report
    const suspects = [...new Set(requests.flat())].filter((part) => evidence.suspects.has(part))
    this.#options.log.emit(QUARANTINE_EVENTS.endpointCrashed, {
      scope, endpoint, incarnation, reporter, requests: requests.length, suspects: suspects.slice(0, MAX_LOGGED).join(' ')
    })
  }

  #judge (evidence: ScopeEvidence): void {
    const { scope } = evidence
    const history: PartHistory = {
      hasBegun: (part) => this.#begun.has(scope, part),
      isKnownElsewhere: (part) => this.#table.isKnownElsewhere(scope, part)
    }
    const findings = evidence.judge(history, this.#options.clock.now())
    for (const finding of findings) this.#applyFinding(scope, finding)
  }

  #applyFinding (scope: ScopeId, { parts, crashes }: Finding): void {
    const lastCrashAt = epochMillis(Math.max(...crashes.map(({ at }) => at)))
    const known = this.#table.get({ scope, parts })
    if (known?.source === 'operator' || lastCrashAt <= (this.#lifted.get(keyOf({ scope, parts })) ?? 0)) return
    const isTrial = known !== undefined && lastCrashAt - known.lastCrashAt >= FIRST_LAPSE / 2
    const failedTrials = (known?.failedTrials ?? 0) + (isTrial ? 1 : 0)
    const endpoints = crashes.slice(-MAX_NAMED_ENDPOINTS).map(({ endpoint }) => endpoint)
    const quarantine: Quarantine = {
      scope, parts, crashes: Math.max(crashes.length, known?.crashes ?? 0), lastCrashAt, failedTrials, endpoints, source: 'own'
    }
    this.#table.put(quarantine)
    if (known !== undefined && !isTrial) return
    this.#logQuarantine(quarantine)
    this.#announcer.quarantine(quarantine, () => this.#table.get(quarantine)?.source === 'own')
    if (known === undefined) this.#notify()
  }

  /** A quarantine that another instance has begun; parts that are known to be sound here are left out, and the others are told. */
  #receiveQuarantine (told: Quarantine): void {
    const innocent = told.parts.filter((part) => this.#begun.has(told.scope, part))
    if (innocent.length > 0) this.#announcer.begunLater(told.scope, innocent)
    const received = { ...told, parts: told.parts.filter((part) => !innocent.includes(part)) }
    if (received.parts.length > 0) this.#adopt(received)
  }

  #adopt (received: Quarantine): void {
    const known = this.#table.get(received)
    if (known?.source === 'operator' || received.lastCrashAt <= (this.#lifted.get(keyOf(received)) ?? 0)) return
    const isNews = known === undefined || received.lastCrashAt > known.lastCrashAt
    this.#table.put(isNews ? received : { ...known, source: 'peer' })
    if (known !== undefined) return
    this.#logQuarantine(received)
    this.#notify()
  }

  #receiveBegun ({ scope, parts }: BegunNotice, from: InstanceId): void {
    for (const part of parts) {
      this.#begun.add(scope, part)
      this.#announcer.begunTold(scope, part)
    }
    this.#clear(this.#evidenceOf(scope), parts, from)
  }

  /** Ends the suspicion of parts, and their quarantines; where others were blamed with them, it is left for those. */
  #clear (evidence: ScopeEvidence, parts: readonly PartId[], by: string): void {
    const { scope, suspects } = evidence
    const { log } = this.#options
    for (const part of parts) {
      if (suspects.has(part)) log.emit(QUARANTINE_EVENTS.partCleared, { scope, part, by })
      evidence.clear(part)
      for (const quarantine of this.#table.withPart(scope, part)) this.#narrow(quarantine, part, by)
    }
    this.#judge(evidence)
  }

  /** An answer has begun on a quarantined part. */
  #narrow (quarantine: Quarantine, part: PartId, by: string): void {
    const { scope, parts, source, lastCrashAt } = quarantine
    if (source === 'operator') return
    const left = parts.filter((other) => other !== part)
    this.#table.delete(quarantine)
    this.#lifted.set(keyOf(quarantine), lastCrashAt)
    if (left.length > 0) this.#table.put({ ...quarantine, parts: left })
    else this.#options.log.emit(QUARANTINE_EVENTS.quarantineLifted, { scope, parts: parts.join(' '), by })
  }

  #takeTrial (quarantine: Quarantine): boolean {
    const { clock, peers, instances, log } = this.#options
    // A version on which no answer has begun would crash whatever the parts are.
    if (!this.#begun.hasAny(quarantine.scope)) return false
    if (!this.#table.tryTrial(quarantine, peers.self, instances(), clock.wall())) return false
    const { scope, parts, failedTrials } = quarantine
    log.emit(QUARANTINE_EVENTS.quarantineTried, { scope, parts: parts.join(' '), failedTrials })
    return true
  }

  #applyOrder ({ action, scope, parts, by, at }: QuarantineOrder): void {
    const { log } = this.#options
    const known = this.#table.get({ scope, parts })
    const fields = { scope, parts: parts.join(' '), by }
    if (action === 'pin') {
      const none = { crashes: 0, failedTrials: 0, endpoints: [] }
      this.#table.put({ ...none, ...known, scope, parts, lastCrashAt: known?.lastCrashAt ?? at, source: 'operator' })
      log.emit(QUARANTINE_EVENTS.quarantinePinned, fields)
      return this.#notify()
    }
    this.#lifted.set(keyOf({ scope, parts }), Math.max(at, known?.lastCrashAt ?? 0))
    this.#evidenceOf(scope).forget(parts)
    for (const carriedOver of this.#table.carriedOver(scope, parts)) this.#table.delete(carriedOver)
    if (this.#table.delete({ scope, parts })) log.emit(QUARANTINE_EVENTS.quarantineLifted, fields)
  }

  #logQuarantine ({ scope, parts, crashes, failedTrials, endpoints, source }: Quarantine): void {
    this.#options.log.emit(QUARANTINE_EVENTS.partsQuarantined, {
      scope,
      parts: parts.join(' '),
      crashes,
      failedTrials,
      endpoints: endpoints.slice(0, MAX_LOGGED).join(' '),
      reporters: this.reportersOf({ scope, parts }).slice(0, MAX_LOGGED).join(' '),
      source
    })
  }

  #notify (): void {
    for (const listener of this.#listeners) listener()
  }

  #evidenceOf (scope: ScopeId): ScopeEvidence {
    const known = this.#evidence.get(scope)
    if (known !== undefined) return known
    const evidence = new ScopeEvidence(scope)
    this.#evidence.set(scope, evidence)
    return evidence
  }
}
