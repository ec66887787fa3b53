import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { afterAll, afterEach, describe, expect, it } from 'vitest'

const BINARY = fileURLToPath(new URL('../bin/papayahilld.js', import.meta.url))
const EXAMPLE = new URL('../../../examples/instances/ph-1.toml', import.meta.url)
const SECRETS = { PAPAYAHILL_PEERS: 'one-secret-of-all-instances', PAPAYAHILL_OPERATOR_TOKENS: 'ana=a-token-for-trying-things' }
/** Lets a signal cause an error that no code of the program expects. */
const ERRORS_BY_SIGNAL = `data:text/javascript,${encodeURIComponent(`
  process.on('SIGUSR2', () => { void Promise.reject(new Error('stray rejection')) })
  process.on('SIGWINCH', () => { setImmediate(() => { throw new Error('stray exception') }) })
`)}`
const WAIT_MILLIS = 20_000

interface StartedDaemon {
  readonly daemon: ChildProcess
  /** Whether it logs this text in time. */
  readonly logged: (text: string) => Promise<boolean>
}

/** Holds a port as another program would. */
const holdPort = async (): Promise<{ readonly other: Server, readonly port: number }> => {
  const other = createServer()
  await new Promise<void>((resolve) => { other.listen(0, '127.0.0.1', resolve) })
  return { other, port: (other.address() as AddressInfo).port }
}

describe('the daemon', () => {
  const folder = mkdtempSync(join(tmpdir(), 'papayahilld-'))
  let child: ChildProcess | undefined

  afterEach(() => { child?.kill('SIGKILL') })
  afterAll(() => { rmSync(folder, { recursive: true }) })

  const start = async (adapt = (text: string): string => text): Promise<StartedDaemon> => {
    const file = join(folder, 'ph-1.toml')
    writeFileSync(file, adapt(readFileSync(EXAMPLE, 'utf8').replace(/127\.0\.0\.1:80\d\d/g, '127.0.0.1:0')))
    const daemon = spawn(process.execPath, ['--import', ERRORS_BY_SIGNAL, BINARY, '--settings', file], {
      env: { PATH: process.env['PATH'], ...SECRETS }
    })
    child = daemon
    let lines = ''
    daemon.stdout.on('data', (data: Buffer) => { lines += data.toString() })
    const logged = async (text: string): Promise<boolean> => {
      const latest = performance.now() + WAIT_MILLIS
      while (!lines.includes(text) && daemon.exitCode === null && performance.now() < latest) {
        await new Promise((resolve) => setTimeout(resolve, 20))
      }
      return lines.includes(text)
    }
    expect(await logged('"starting"')).toBe(true)
    return { daemon, logged }
  }

  const LISTENERS = ['callers', 'peers', 'operators'] as const

  it.each(LISTENERS)('does not end because the address of its %s is in use, and uses it once it is free', async (listener) => {
    const { other, port } = await holdPort()
    const { daemon, logged } = await start((text) => text.replace(new RegExp(`^(${listener} = "127.0.0.1:)0`, 'm'), `$1${port}`))
    await new Promise((resolve) => setTimeout(resolve, 1500))
    expect(daemon.exitCode).toBeNull()
    await new Promise((resolve) => other.close(resolve))
    expect(await logged(`"port":${port}`)).toBe(true)
  })

  it('stops as planned while the address of its callers is in use', async () => {
    const { other, port } = await holdPort()
    const { daemon } = await start((text) => text.replace(/^(callers = "127.0.0.1:)0/m, `$1${port}`))
    await new Promise((resolve) => setTimeout(resolve, 1000))
    const ended = new Promise((resolve) => { daemon.once('exit', resolve) })
    daemon.kill('SIGTERM')
    expect(await ended).toBe(0)
    other.close()
  })

  it('logs a rejection that nothing handles, and goes on', async () => {
    const { daemon, logged } = await start()
    daemon.kill('SIGUSR2')
    expect(await logged('stray rejection')).toBe(true)
    daemon.kill('SIGUSR2')
    await new Promise((resolve) => setTimeout(resolve, 500))
    expect(daemon.exitCode).toBeNull()
  })

  it('logs an exception that nothing catches, and ends with an error', async () => {
    const { daemon, logged } = await start()
    const ended = new Promise((resolve) => { daemon.once('exit', resolve) })
    daemon.kill('SIGWINCH')
    expect(await logged('stray exception')).toBe(true)
    expect(await ended).toBe(1)
  })
})
