import { brand, millis, seconds } from '@papayahill/common'
import type { Incarnation, Json } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { ReportRig } from './testing/ReportRig.js'
import type { RigInstance } from './testing/ReportRig.js'

const receiversOf = (rig: ReportRig): readonly RigInstance[] => rig.instances.filter(({ sink }) => sink.received > 0)

const namesOf = ({ log }: RigInstance): readonly string[] => log.records.map(({ kind }) => kind.name)

describe('Reports', () => {
  it('brings what all instances report to the holder and one backup, and nothing that did not change', async () => {
    const rig = new ReportRig(6)
    rig.holder.change(rig.instances[2]!.self)
    rig.instances.forEach(({ source }, at) => { source.value = at + 10 })
    rig.start()
    await rig.clock.advance(seconds(5))
    const receivers = receiversOf(rig)
    expect(receivers).toHaveLength(2)
    expect(receivers).toContain(rig.instances[2])
    for (const { sink } of receivers) {
      expect([...sink.values.values()].sort()).toEqual([10, 11, 12, 13, 14, 15])
      expect(sink.received).toBe(6)
    }
  })

  it('sends everything to a new holder soon after it is known', async () => {
    const rig = new ReportRig(6)
    rig.holder.change(rig.instances[2]!.self)
    rig.start()
    await rig.clock.advance(seconds(5))
    rig.holder.change(rig.instances[4]!.self)
    await rig.clock.advance(millis(450))
    expect(rig.instances[4]!.sink.values.size).toBe(6)
  })

  it('does not pass over a new holder whose link is still being opened', async () => {
    const rig = new ReportRig(6)
    rig.holder.change(rig.instances[2]!.self)
    rig.start()
    await rig.clock.advance(seconds(5))
    rig.instances[4]!.isUnlinked = true
    rig.holder.change(rig.instances[4]!.self)
    await rig.clock.advance(millis(600))
    rig.instances[4]!.isUnlinked = false
    await rig.clock.advance(millis(300))
    expect(rig.instances[4]!.sink.values.size).toBe(6)
    expect(rig.instances.flatMap(namesOf)).not.toContain('receiverSilent')
  })

  it('replaces a receiver that does not answer by the next one, with a log line', async () => {
    const rig = new ReportRig(6)
    rig.holder.change(rig.instances[2]!.self)
    rig.start()
    await rig.clock.advance(seconds(5))
    rig.instances[2]!.isSilent = true
    for (const { source } of rig.instances) source.value = 7
    await rig.clock.advance(seconds(5))
    const [reporter] = rig.instances
    expect(namesOf(reporter!)).toContain('receiverSilent')
    const current = rig.instances.filter(({ sink, isSilent }) => !isSilent && sink.values.get(reporter!.self.incarnation) === 7)
    expect(current).toHaveLength(2)
  })

  it('drops a message that cannot be parsed with a log line, and goes on to serve others', async () => {
    const rig = new ReportRig(3)
    rig.start()
    const [receiver, sender] = rig.instances
    const malformed: readonly Json[] = [null, 'x', [], [1, 'count', 'not a number'], [1, 'count']]
    for (const message of malformed) {
      expect(await receiver!.handler!(sender!.self.id, message, sender!.self.incarnation)).toBe(false)
    }
    expect(namesOf(receiver!).filter((name) => name === 'reportMalformed')).toHaveLength(1)
    expect(await receiver!.handler!(sender!.self.id, [1, 'count', 5], sender!.self.incarnation)).not.toBe(false)
    expect(receiver!.sink.values.get(sender!.self.incarnation)).toBe(5)
  })

  it('accepts sections of a name that it does not know, as from a newer version', async () => {
    const rig = new ReportRig(3)
    rig.start()
    const [receiver, sender] = rig.instances
    expect(await receiver!.handler!(sender!.self.id, [1, 'newer', { a: 1 }], sender!.self.incarnation)).not.toBe(false)
  })

  it('tells a source that its body could not be read', async () => {
    const rig = new ReportRig(3)
    for (const { sink } of rig.instances) sink.receive = () => { throw new Error('unknown names') }
    rig.start()
    await rig.clock.advance(seconds(2))
    for (const { source } of rig.instances) {
      expect(source.rejected).toBeGreaterThan(0)
      expect(source.confirmed.size).toBe(0)
    }
  })

  it('collects what others have stored, whatever some of them answer, and however many are silent', async () => {
    const rig = new ReportRig(5)
    rig.start()
    const [collecting, stored, silent, malformed] = rig.instances
    const gone = brand<Incarnation>('gone@1')
    stored!.sink.values.set(gone, 99)
    silent!.isSilent = true
    malformed!.sink.exported = () => null
    await Promise.all([collecting!.reports.collect(), rig.clock.advance(seconds(2))])
    expect(collecting!.sink.values.get(gone)).toBe(99)
    const collected = collecting!.log.records.find(({ kind }) => kind.name === 'collected')
    expect(collected?.fields).toEqual({ asked: 4, answered: 3 })
    expect(namesOf(collecting!)).toContain('reportMalformed')
  })

  it('sets clocks that are seconds off to the median of all', async () => {
    const rig = new ReportRig(7, (at) => millis(at === 1 ? 4000 : at === 5 ? -3000 : at))
    rig.start()
    await rig.clock.advance(seconds(3))
    for (const { reports } of rig.instances) expect(Math.abs(reports.fleetClock.now() - rig.clock.wall())).toBeLessThan(20)
  })

  it('sends a last report when it stops', async () => {
    const rig = new ReportRig(4)
    rig.holder.change(rig.instances[2]!.self)
    rig.start()
    await rig.clock.advance(seconds(3))
    const [stopping] = rig.instances
    stopping!.source.value = 42
    await Promise.all([stopping!.reports.stop(), rig.clock.advance(millis(50))])
    expect(rig.instances[2]!.sink.values.get(stopping!.self.incarnation)).toBe(42)
    stopping!.source.value = 43
    await rig.clock.advance(seconds(3))
    expect(rig.instances[2]!.sink.values.get(stopping!.self.incarnation)).toBe(42)
  })
})
