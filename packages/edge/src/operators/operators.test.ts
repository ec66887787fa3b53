import { failure } from '@papayahill/common'
import { encodeConfig } from '@papayahill/settings'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { OPERATOR_TOKEN, startFaces, WORKSPACE_TOKEN } from '../testing/startFaces.js'
import type { Faces } from '../testing/startFaces.js'

const AUTH = { authorization: `Bearer ${OPERATOR_TOKEN}` }

describe('the operators\' interface', () => {
  let faces: Faces

  beforeEach(async () => { faces = await startFaces() })
  afterEach(async () => { await faces.close() })

  const ask = (method: string, path: string, body?: unknown, headers: Readonly<Record<string, string>> = AUTH): Promise<Response> =>
    fetch(`${faces.operators}${path}`, {
      method,
      headers: { ...headers, ...(body === undefined ? {} : { 'content-type': 'application/json' }) },
      body: body === undefined ? undefined : JSON.stringify(body)
    })

  describe('tokens', () => {
    const PATHS = [
      ['GET', '/v1/config'], ['POST', '/v1/config/changes'], ['GET', '/v1/status'], ['POST', '/v1/domains/scl-a/out'],
      ['GET', '/v1/claims'], ['GET', '/v1/cost'], ['GET', '/v1/orders'], ['GET', '/metrics']
    ] as const

    it.each(PATHS)('%s %s takes none but an operator\'s', async (method, path) => {
      for (const authorization of ['', 'Bearer wrong-token-of-nobody', `Bearer ${WORKSPACE_TOKEN}`]) {
        expect((await ask(method, path, undefined, { authorization })).status).toBe(401)
      }
      expect(faces.instance.proposed).toHaveLength(0)
    })
  })

  describe('changes', () => {
    it('go to the configuration log with their author', async () => {
      const res = await ask('POST', '/v1/domains/scl-a/out')
      expect(await res.json()).toEqual({ version: 8, isRecorded: true })
      expect(faces.instance.proposed).toEqual([{ changes: [{ kind: 'domain-out', domain: 'scl-a' }], author: 'ana', base: undefined }])
    })

    it('that replace all keep what commands set and never win over an unseen version', async () => {
      const config = encodeConfig(faces.instance.config.view().config)
      const res = await ask('POST', '/v1/config/changes', { changes: [{ kind: 'replace', config }] })
      expect(res.status).toBe(200)
      expect(faces.instance.proposed[0]?.base).toBe(7)
    })

    it('that lost a race get a conflict', async () => {
      faces.instance.refusal = failure('conflict', 'version 8 by bea won', 'unknown')
      const res = await ask('DELETE', '/v1/moves/orders')
      expect(res.status).toBe(409)
      expect(await res.json()).toMatchObject({ kind: 'conflict', detail: 'version 8 by bea won' })
    })

    it.each([
      ['no list', {}, 'send a list of changes'],
      ['an unknown kind', { changes: [{ kind: 'move-done' }] }, 'unknown kind of change; allowed: replace'],
      ['a malformed class', { changes: [{ kind: 'put-class', class: { id: 'x' } }] }, 'pipeline: found nothing'],
      ['an unknown service in a whole', { changes: [{ kind: 'replace', config: { pipelines: [{ id: 'p', stages: [{ id: 's', service: 'none' }] }] } }] }, 'found \'none\''],
      ['a budget without a limit', { changes: [{ kind: 'put-budgets', budgets: [{ workspace: 'dealers' }] }] }, 'limit: found nothing']
    ])('with %s are refused in words', async (_what, body, detail) => {
      const res = await ask('POST', '/v1/config/changes', body)
      const problem = await res.json() as { readonly detail: string }
      expect(res.status).toBe(422)
      expect(problem.detail).toContain(detail)
      expect(faces.instance.proposed).toHaveLength(0)
    })

    it('refuse a body that is no object, a move without a time, a claim without a word and an order without its name', async () => {
      expect((await ask('POST', '/v1/moves', [])).status).toBe(400)
      expect((await ask('POST', '/v1/moves', { service: 'orders', to: 'v2' })).status).toBe(422)
      expect((await ask('POST', '/v1/claims/dealers/po-81', { resolution: 'perhaps' })).status).toBe(422)
      expect((await ask('POST', '/v1/orders', { service: 'orders', endpoint: 'e', action: { kind: 'load-version' } })).status).toBe(422)
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
