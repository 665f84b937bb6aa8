<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Latency accounts</title>
<style>body{font-family:sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse;margin:.5em 0 1.5em}
td,th{padding:.2em .8em;text-align:left}td.n{text-align:right}.bar{background:#47a;height:.8em}
.main{background:#eef4fa;border-left:4px solid #47a;padding:.6em 1em}</style></head><body>
<h1>Latency accounts</h1>
<p>From ${from} to ${to}. <#list clocks as clock>Gateway ${clock.gateway}<#if clocks?size gt 1>: <#if clock.known>its clock is ${clock.ahead?string("0.000")} s ahead of the first's<#else>its clock is not known and taken as it is</#if></#if>. </#list></p>
<#list volumes as volume>
<h2>${volume.name}</h2>
<p>${volume.report.operations()} operations: ${volume.report.met()} in time, ${volume.report.missed()} not,
${volume.report.rejected()} declined, ${volume.report.abandoned()} scrapped, ${volume.report.cancelled()} left by their
client. Utility lost: ${volume.report.lostWeight()?string("0.0")}.</p>
<#if volume.main??>
<p class="main">Main cause of its waits: <b>${volume.main}</b>, ${(volume.share * 100)?string("0")} % of its waiting
(${volume.least?string("0.000")} to ${volume.most?string("0.000")} s), confidence ${volume.confidence}; most of it from
${volume.when}.<#if volume.zone??> Most nodes of that zone at once: <#list volume.zone as node>${node?c}<#sep>, </#list>.</#if>
${volume.advice}</p>
</#if>
<#if volume.plot??><img alt="waiting and work over time" src="data:image/png;base64,${volume.plot}"></#if>
<h3>By part of its plan</h3>
<table><tr><th>part</th><th>units</th><th>in time</th><th>not</th><th>p50 ms</th><th>p99 ms</th><th>utility lost</th></tr>
<#list volume.plan as plan><tr><td>${plan.name}</td><td class="n">${plan.line.units()?string("0.0")}</td>
<td class="n">${plan.line.met()?c}</td><td class="n">${plan.line.missed()?c}</td>
<td class="n">${plan.line.p50()?string("0.0")}</td><td class="n">${plan.line.p99()?string("0.0")}</td>
<td class="n">${plan.line.lostWeight()?string("0.0")}</td></tr></#list></table>
<#list [["Where its time went", volume.parts], ["What caused its waits", volume.causes]] as table>
<h3>${table[0]}</h3>
<table><#list table[1] as row><tr><td>${row.text}<#if row.charged?? && row.charged.observedShare() lt 0.7> (estimate:
${(row.charged.lowerBound() / 1000)?string("0.000")} to ${(row.charged.upperBound() / 1000)?string("0.000")} s)</#if></td>
<td class="n">${row.seconds?string("0.000")} s</td><td class="n">${(row.share * 100)?string("0.0")} %</td>
<td style="width:16em"><div class="bar" style="width:${(row.share * 100)?string("0.0")}%"></div></td></tr>
</#list></table>
</#list>
</#list>
</body></html>
