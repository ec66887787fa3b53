import { failure } from '@papayahill/common'
import { encodeConfig } from '@papayahill/settings'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { OPERATOR_TOKEN, startListeners, WORKSPACE_TOKEN } from '../testing/startListeners.js'
import type { TestListeners } from '../testing/startListeners.js'

const AUTH = { authorization: `Bearer ${OPERATOR_TOKEN}` }

describe('the operators\' interface', () => {
  let listeners: TestListeners

  beforeEach(async () => { listeners = await startListeners() })
  afterEach(async () => { await listeners.close() })

  const ask = (method: string, path: string, body?: unknown, headers: Readonly<Record<string, string>> = AUTH): Promise<Response> =>
    fetch(`${listeners.operators}${path}`, {
      method,
      headers: { ...headers, ...(body === undefined ? {} : { 'content-type': 'application/json' }) },
      body: body === undefined ? undefined : JSON.stringify(body)
    })

  describe('tokens', () => {
    const PATHS = [
      ['GET', '/v1/config'], ['POST', '/v1/config/changes'], ['GET', '/v1/status'], ['POST', '/v1/domains/scl-a/out'],
      ['GET', '/v1/claims'], ['GET', '/v1/cost'], ['GET', '/v1/orders'], ['GET', '/v1/quarantines'],
      ['POST', '/v1/quarantines'], ['GET', '/metrics']
    ] as const

    it.each(PATHS)('%s %s accepts only an operator\'s', async (method, path) => {
      for (const authorization of ['', 'Bearer wrong-token-of-nobody', `Bearer ${WORKSPACE_TOKEN}`]) {
        expect((await ask(method, path, undefined, { authorization })).status).toBe(401)
      }
      expect(listeners.instance.proposed).toHaveLength(0)
    })
  })

  describe('changes', () => {
    it('are proposed to the configuration log with their author', async () => {
      const res = await ask('POST', '/v1/domains/scl-a/out')
      expect(await res.json()).toEqual({ version: 8, isRecorded: true })
      expect(listeners.instance.proposed).toEqual([{ changes: [{ kind: 'domain-out', domain: 'scl-a' }], author: 'ana', base: undefined }])
    })

    it('that replace all keep the state set by commands and do not overwrite an unseen version', async () => {
      const config = encodeConfig(listeners.instance.config.view().config)
      const res = await ask('POST', '/v1/config/changes', { changes: [{ kind: 'replace', config }] })
      expect(res.status).toBe(200)
      expect(listeners.instance.proposed[0]?.base).toBe(7)
    })

    it('that lost the race get a conflict', async () => {
      listeners.instance.refusal = failure('conflict', 'version 8 by bea won', 'unknown')
      const res = await ask('DELETE', '/v1/moves/orders')
      expect(res.status).toBe(409)
      expect(await res.json()).toMatchObject({ kind: 'conflict', detail: 'version 8 by bea won' })
    })

    it.each([
      ['no list', {}, 'send a list of changes'],
      ['an unknown kind', { changes: [{ kind: 'move-done' }] }, 'unknown kind of change; allowed: replace'],
      ['a malformed class', { changes: [{ kind: 'put-class', class: { id: 'x' } }] }, 'pipeline: found nothing'],
      ['an unknown service in a replacement', { changes: [{ kind: 'replace', config: { pipelines: [{ id: 'p', stages: [{ id: 's', service: 'none' }] }] } }] }, 'found \'none\''],
      ['a budget without a limit', { changes: [{ kind: 'put-budgets', budgets: [{ workspace: 'dealers' }] }] }, 'limit: found nothing']
    ])('with %s are refused with the reason', async (_what, body, detail) => {
      const res = await ask('POST', '/v1/config/changes', body)
      const problem = await res.json() as { readonly detail: string }
      expect(res.status).toBe(422)
      expect(problem.detail).toContain(detail)
      expect(listeners.instance.proposed).toHaveLength(0)
    })

    it('are refused if the body is not an object, a move has no time, a claim has no valid resolution or an order has no name', async () => {
      expect((await ask('POST', '/v1/moves', [])).status).toBe(400)
      expect((await ask('POST', '/v1/moves', { service: 'orders', to: 'v2' })).status).toBe(422)
      expect((await ask('POST', '/v1/claims/dealers/po-81', { resolution: 'perhaps' })).status).toBe(422)
      expect((await ask('POST', '/v1/orders', { service: 'orders', endpoint: 'e', action: { kind: 'load-version' } })).status).toBe(422)
    })
  })

  describe('quarantines', () => {
    const PART = { service: 'assistant', version: 'v1', parts: ['guide-7'] }

    it('are pinned and lifted with the operator\'s name, and listed', async () => {
      expect((await ask('POST', '/v1/quarantines', { ...PART, action: 'pin' })).status).toBe(200)
      const pinned = await (await ask('GET', '/v1/quarantines')).json() as ReadonlyArray<{ readonly source: string }>
      expect(pinned).toMatchObject([{ scope: 'assistant v1 ', parts: ['guide-7'], source: 'operator' }])
      expect((await ask('POST', '/v1/quarantines', { ...PART, action: 'lift' })).status).toBe(200)
      expect(await (await ask('GET', '/v1/quarantines')).json()).toEqual([])
    })

    it.each([
      ['no action', PART, 'lift or pin'],
      ['no version', { ...PART, action: 'pin', version: 7 }, 'service and version'],
      ['no parts', { ...PART, action: 'pin', parts: [] }, 'its parts']
    ])('with %s are refused with the reason', async (_what, body, detail) => {
      const res = await ask('POST', '/v1/quarantines', body)
      expect(res.status).toBe(422)
      expect((await res.json() as { readonly detail: string }).detail).toContain(detail)
    })
  })

  describe('views', () => {
    it('show status, configuration, cost, claims and moves', async () => {
      const views: Response[] = []
      for (const name of ['status', 'config', 'cost', 'claims', 'moves', 'orders']) views.push(await ask('GET', `/v1/${name}`))
      expect(views.map((view) => view.status)).toEqual([200, 200, 200, 200, 200, 200])
      expect(await views[0]?.json()).toMatchObject({ instance: 'ph-1', roster: { ageMillis: null }, inForce: [{ version: 7 }] })
      expect(await views[1]?.json()).toMatchObject({ version: 7, author: 'ana' })
    })
  })
})
